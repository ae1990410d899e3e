//! A delayed duplicate of a publication must not change the configuration, even after the fold has
//! evicted the writer's sequence number or the removal of the path.

mod fixture;

use dotterelhook_state::config::ConfigState;
use fixture::append;
use fixture::change;
use fixture::in_force_offset;
use fixture::job;

const ABOVE_RETENTION_LIMIT: u64 = 1_100;

/// Appends refused publications of new writers until all earlier writers are evicted.
fn evict_writers(state: &mut ConfigState) {
    for number in 0..ABOVE_RETENTION_LIMIT {
        let refused = change(&format!("noise-{number}"), "other/jobs/a", Some(0), None);
        let _ = append(state, &refused.payload());
    }
}

#[test]
fn a_copy_does_not_bring_back_a_removed_path() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    append(&mut state, &add).expect("a new path");
    append(&mut state, &remove).expect("the path is in force");
    evict_writers(&mut state);

    let duplicate = append(&mut state, &add);

    assert!(duplicate.is_err());
    assert_eq!(in_force_offset(&state, "team/jobs/a"), None);
}

#[test]
fn a_copy_does_not_bring_back_a_path_whose_removal_is_forgotten() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    append(&mut state, &add).expect("a new path");
    append(&mut state, &remove).expect("the path is in force");
    for number in 0..ABOVE_RETENTION_LIMIT {
        let path = format!("team/jobs/other-{number}");
        let base = state.next_offset().0;
        let writer = format!("other-{number}");
        let mut other = change(&writer, &path, Some(base - 1), Some(job(1_000)));
        append(&mut state, &other.payload()).expect("a new path");
        other.sequence = 2;
        other.base_offset = Some(base);
        other.body = None;
        append(&mut state, &other.payload()).expect("the path is in force");
    }

    let duplicate = append(&mut state, &add);

    assert!(duplicate.is_err());
    assert_eq!(in_force_offset(&state, "team/jobs/a"), None);
}

#[test]
fn a_removed_path_can_be_added_again_by_who_knows_of_the_removal() {
    let add = change("one", "team/jobs/a", None, Some(job(1_000))).payload();
    let remove = change("two", "team/jobs/a", Some(0), None).payload();
    let mut state = ConfigState::default();
    append(&mut state, &add).expect("a new path");
    append(&mut state, &remove).expect("the path is in force");
    let without_removal = change("three", "team/jobs/a", Some(0), Some(job(2_000))).payload();
    let with_removal = change("four", "team/jobs/a", Some(2), Some(job(3_000))).payload();

    let refused = append(&mut state, &without_removal);
    let accepted = append(&mut state, &with_removal);

    assert!(refused.is_err());
    assert_eq!(accepted, Ok(()));
    assert_eq!(
        in_force_offset(&state, "team/jobs/a").map(|offset| offset.0),
        Some(3)
    );
}
