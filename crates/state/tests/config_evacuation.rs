//! Evacuations of failure domains in the fold of the configuration.
//!
//! Guards against a request of one operator that undoes another's unseen, against old records that
//! revive an evacuation, and against states that depend on more than the records.

mod fixture;

use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::EvacuationPhase;
use dotterelhook_state::config::EvacuationReport;
use dotterelhook_state::config::Refusal;
use dotterelhook_state::config::RunningAttempts;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_state::config::split_snapshot;
use dotterelhook_types::ids::Offset;
use fixture::Change;
use fixture::append;
use fixture::change;
use fixture::job;
use serde_json::json;

const LAGUNA: &str = "operators/evacuations/laguna";

fn request(writer: &str, base_offset: Option<u64>) -> Change {
    let body = json!({ "requested_at_unix_ms": 7 });
    change(writer, LAGUNA, base_offset, Some(body))
}

fn end(writer: &str, base_offset: u64) -> Change {
    change(writer, LAGUNA, Some(base_offset), None)
}

fn in_force(state: &ConfigState) -> Vec<(String, Offset)> {
    let evacuations = state.evacuations();
    evacuations
        .map(|(domain, offset, _)| (domain.to_string(), offset))
        .collect()
}

#[test]
fn of_two_operators_at_once_the_first_wins_and_the_second_learns_the_version() {
    let mut state = ConfigState::default();

    let first = append(&mut state, &request("a", None).payload());
    let second = append(&mut state, &request("b", None).payload());
    let ended = append(&mut state, &end("a2", 0).payload());
    let ended_again = append(&mut state, &end("b2", 0).payload());

    let in_force_offset = |offset| {
        Err(Refusal::StaleBase {
            in_force_offset: offset,
        })
    };
    assert_eq!((first, second), (Ok(()), in_force_offset(Some(Offset(0)))));
    assert_eq!((ended, ended_again), (Ok(()), in_force_offset(None)));
    assert_eq!(in_force(&state), []);
}

#[test]
fn a_record_that_comes_again_revives_and_ends_nothing() {
    let mut state = ConfigState::default();
    let requested = request("a", None).payload();
    let ended = end("b", 0).payload();
    let again = request("c", Some(1)).payload();
    for payload in [&requested, &ended] {
        assert_eq!(append(&mut state, payload), Ok(()));
    }

    assert!(append(&mut state, &requested).is_err());
    assert_eq!(in_force(&state), []);
    assert_eq!(append(&mut state, &again), Ok(()));
    assert!(append(&mut state, &ended).is_err());

    assert_eq!(in_force(&state), [("laguna".to_owned(), Offset(3))]);
}

/// History that was deleted leaves a snapshot; a process that begins with it must know the same
/// evacuations as one that read every record.
#[test]
fn a_snapshot_has_the_evacuations_in_force_and_the_ends() {
    let mut state = ConfigState::default();
    let path = "operators/evacuations/pampanga";
    let body = json!({ "requested_at_unix_ms": 9 });
    let other = change("b", path, Some(0), Some(body)).payload();
    for payload in [request("a", None).payload(), other, end("c", 0).payload()] {
        assert_eq!(append(&mut state, &payload), Ok(()));
    }
    let mut assembler = SnapshotAssembler::default();
    let mut restored = None;

    for part in split_snapshot(&state, "writer", 1) {
        let text = serde_json::to_string(&part).expect("a part");
        restored = assembler.add(&text).expect("a valid part");
    }

    let restored = restored.expect("a snapshot").state;
    assert_eq!(restored, state);
    assert_eq!(in_force(&restored), [("pampanga".to_owned(), Offset(1))]);
    let ended: Vec<_> = restored.ended_evacuations().collect();
    assert_eq!(ended, [("laguna".parse().expect("a name"), Offset(2))]);
}

#[test]
fn only_the_operators_path_evacuates_and_a_full_configuration_does_not_prevent_it() {
    let mut state = ConfigState::default();
    let body = json!({ "requested_at_unix_ms": 7 });
    let of_a_team = change("t", "desk/evacuations/laguna", None, Some(body.clone()));
    let by_a_team = Change {
        team: "desk".to_owned(),
        ..request("u", Some(0))
    };

    assert!(append(&mut state, &of_a_team.payload()).is_err());
    assert!(append(&mut state, &by_a_team.payload()).is_err());
    for index in 0..10_000_u64 {
        let name = format!("desk/jobs/j{index}");
        let base = state.next_offset().0 - 1;
        let full = change(&format!("w{index}"), &name, Some(base), Some(job(1)));
        assert_eq!(append(&mut state, &full.payload()), Ok(()));
    }
    let base = state.next_offset().0 - 1;
    let one_more = change("w", "desk/jobs/one-more", Some(base), Some(job(1)));
    let too_many = append(&mut state, &one_more.payload());

    assert!(matches!(too_many, Err(Refusal::TooManyPaths { .. })));
    assert_eq!(
        append(&mut state, &request("a", Some(base)).payload()),
        Ok(())
    );
}

#[test]
fn the_phase_of_a_report_follows_from_what_runs() {
    let mut state = ConfigState::default();
    assert_eq!(append(&mut state, &request("a", None).payload()), Ok(()));
    let report = EvacuationReport::all(&state).remove(0);
    let phase_with = |checkpointable, other| {
        let mut report = report.clone();
        report.set_running(RunningAttempts {
            checkpointable,
            other,
        });
        report.phase
    };

    assert_eq!(report.phase, EvacuationPhase::Requested);
    assert_eq!(phase_with(1, 0), EvacuationPhase::Emptying);
    assert_eq!(phase_with(0, 1), EvacuationPhase::Emptying);
    assert_eq!(phase_with(0, 0), EvacuationPhase::Empty);
    assert_eq!(append(&mut state, &end("b", 0).payload()), Ok(()));
    assert_eq!(
        EvacuationReport::all(&state)[0].phase,
        EvacuationPhase::Ended
    );
}
