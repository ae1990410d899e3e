//! A late copy of a publication changes nothing, whatever the fold has forgotten meanwhile.

mod fixture;

use dotterelhook_state::config::ConfigState;
use fixture::change;
use fixture::in_force;
use fixture::job;
use fixture::push;

const MORE_THAN_KEPT: u64 = 1_100;

/// Fills the table of writers with refused publications, so that earlier writers are forgotten.
fn forget_writers(state: &mut ConfigState) {
    for number in 0..MORE_THAN_KEPT {
        let noise = change(&format!("noise-{number}"), "other/jobs/a", Some(0), None);
        let _ = push(state, &noise.payload());
    }
}

#[test]
fn a_copy_does_not_bring_back_a_removed_path() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    push(&mut state, &add).expect("a new path");
    push(&mut state, &remove).expect("the path is in force");
    forget_writers(&mut state);

    let copy = push(&mut state, &add);

    assert!(copy.is_err());
    assert_eq!(in_force(&state, "team/jobs/a"), None);
}

#[test]
fn a_copy_does_not_bring_back_a_path_whose_removal_is_forgotten() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    push(&mut state, &add).expect("a new path");
    push(&mut state, &remove).expect("the path is in force");
    for number in 0..MORE_THAN_KEPT {
        let path = format!("team/jobs/other-{number}");
        let base = state.next_offset().0;
        let writer = format!("other-{number}");
        let mut other = change(&writer, &path, Some(base - 1), Some(job(1_000)));
        push(&mut state, &other.payload()).expect("a new path");
        other.sequence = 2;
        other.base_offset = Some(base);
        other.body = None;
        push(&mut state, &other.payload()).expect("the path is in force");
    }

    let copy = push(&mut state, &add);

    assert!(copy.is_err());
    assert_eq!(in_force(&state, "team/jobs/a"), None);
}

#[test]
fn a_removed_path_can_be_added_again_by_who_knows_of_the_removal() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    push(&mut state, &add).expect("a new path");
    push(&mut state, &remove).expect("the path is in force");
    let unaware = change("three", "team/jobs/a", Some(0), Some(job(2_000))).payload();
    let aware = change("four", "team/jobs/a", Some(2), Some(job(3_000))).payload();

    let refused = push(&mut state, &unaware);
    let accepted = push(&mut state, &aware);

    assert!(refused.is_err());
    assert_eq!(accepted, Ok(()));
    assert_eq!(
        in_force(&state, "team/jobs/a").map(|offset| offset.0),
        Some(3)
    );
}
