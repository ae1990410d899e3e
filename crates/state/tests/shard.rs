//! The fold of a shard: refused and repeated records must not change the state, and a snapshot must
//! restore it completely.

mod shard_fixture;

use std::collections::BTreeMap;

use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::SnapshotAssembler;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::sizes::Resources;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use shard_fixture::OwnedShard;
use shard_fixture::adopt;
use shard_fixture::domain;
use shard_fixture::end;
use shard_fixture::failed;
use shard_fixture::record;
use shard_fixture::run_id;
use shard_fixture::start;
use shard_fixture::submit;
use shard_fixture::worker;

const RETAINED_CLOSED_RUNS_MAX: usize = 5_000;

/// Returns the JSON of the fields that a refused record must not change.
fn refusal_invariant_json(state: &ShardState) -> String {
    let mut value = serde_json::to_value(state).expect("the state serializes to JSON");
    let fields = value.as_object_mut().expect("an object");
    fields.remove("next_offset");
    fields.remove("owner_sequence");
    value.to_string()
}

fn events() -> impl Strategy<Value = ShardEvent> {
    let ends = prop_oneof![
        3 => Just(AttemptEnd::Succeeded),
        2 => Just(failed()),
        1 => Just(AttemptEnd::Lost),
        1 => Just(AttemptEnd::Cancelled),
        1 => Just(AttemptEnd::Evicted { checkpoint: Some("c".into()) }),
    ];
    let ids = || (0_usize..4, 0_u32..4, 1_u32..4);
    prop_oneof![
        2 => (0_usize..4, 1_u32..4).prop_map(|(run, tasks)| submit(run, tasks)),
        1 => (0_usize..3, 1_u64..3).prop_map(|(w, incarnation)| worker(w, incarnation)),
        6 => (ids(), 0_usize..3).prop_map(|((r, t, n), w)| start(r, t, n, w)),
        5 => (ids(), ends).prop_map(|((r, t, n), how)| end(r, t, n, how)),
        1 => (0_usize..4).prop_map(|r| ShardEvent::Cancel { run: run_id(r) }),
        1 => (0_usize..4).prop_map(|r| ShardEvent::Overdue { run: run_id(r) }),
        1 => (0_usize..4).prop_map(|r| ShardEvent::Fail { run: run_id(r), cause: "no".into() }),
        1 => (0_usize..4).prop_map(|r| ShardEvent::Move { run: run_id(r), to: domain() }),
        1 => (0_usize..4).prop_map(|r| ShardEvent::Delivered { run: run_id(r) }),
        1 => (0_usize..4, 1_u32..4).prop_map(|(run, moves)| adopt(run, moves)),
    ]
}

fn assert_reservations(state: &ShardState) {
    let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
    for open in state.open_attempts().values() {
        let sum = used.entry(open.worker.as_str()).or_default();
        *sum = sum.saturating_add(&open.size);
    }
    for (worker, worker_state) in state.workers() {
        let sum = used.get(worker.as_str()).copied().unwrap_or_default();
        assert_eq!(worker_state.used, sum);
        assert!(sum.fits_in(&worker_state.capacity));
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_refused_record_changes_nothing(events in prop::collection::vec(events(), 1..120)) {
        let mut shard = OwnedShard::new();

        for event in events {
            let before = refusal_invariant_json(&shard.state);
            let result = shard.add(event.clone());

            if result.is_err() {
                prop_assert_eq!(&before, &refusal_invariant_json(&shard.state), "{:?}", event);
            }
            assert_reservations(&shard.state);
        }
    }

    #[test]
    fn repeated_records_change_nothing(
        events in prop::collection::vec(events(), 1..60),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 1..60),
    ) {
        let mut without_repeats = OwnedShard::new();
        let mut with_repeats = OwnedShard::new();
        let mut sent = Vec::new();

        for (index, (event, repeat)) in events.iter().zip(&repeats).enumerate() {
            let own = record("h0", 1, index as u64 + 2, event.clone());
            sent.push(own.clone());
            prop_assert_eq!(without_repeats.apply(own.clone()), with_repeats.apply(own));
            let again = repeat.get(&sent).clone();
            prop_assert_eq!(with_repeats.apply(again), Err(ShardRefusal::Repeated));
        }

        // The repeats shift the offsets, so the states differ. The run summaries must not.
        prop_assert_eq!(without_repeats.state.run_summaries(), with_repeats.state.run_summaries());
    }

    #[test]
    fn a_snapshot_is_the_state(events in prop::collection::vec(events(), 1..120)) {
        let mut shard = OwnedShard::new();
        for event in events {
            let _ = shard.add(event);
        }
        let mut assembler = SnapshotAssembler::default();

        shard.state.to_chunks().iter().for_each(|chunk| assembler.add(chunk));

        prop_assert_eq!(assembler.into_newest(), Some(shard.state));
    }
}

#[test]
fn each_refusal_has_its_rule() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 2), submit(0, 3), submit(1, 1), start(0, 0, 1, 0)]);
    shard.add_all([ShardEvent::Cancel { run: run_id(1) }, start(0, 1, 1, 0)]);
    let cases = [
        (submit(0, 3), Ok(())),
        (start(0, 0, 2, 0), Err(ShardRefusal::NotNextAttempt)),
        (start(0, 2, 2, 0), Err(ShardRefusal::NotNextAttempt)),
        (start(0, 9, 1, 0), Err(ShardRefusal::NotNextAttempt)),
        (start(0, 2, 1, 0), Err(ShardRefusal::WorkerFull)),
        (start(0, 2, 1, 1), Err(ShardRefusal::UnknownWorker)),
        (start(1, 0, 1, 0), Err(ShardRefusal::RunEnded)),
        (start(7, 0, 1, 0), Err(ShardRefusal::UnknownRun)),
        (end(0, 2, 1, AttemptEnd::Lost), Err(ShardRefusal::NotOpen)),
        (worker(0, 1), Err(ShardRefusal::StaleIncarnation)),
        (
            ShardEvent::Cancel { run: run_id(1) },
            Err(ShardRefusal::RunEnded),
        ),
        (
            ShardEvent::Cancel { run: run_id(7) },
            Err(ShardRefusal::UnknownRun),
        ),
    ];

    for (event, expected) in cases {
        assert_eq!(shard.add(event.clone()), expected, "{event:?}");
    }
}

#[test]
fn only_the_newest_claim_may_write() {
    let mut shard = OwnedShard::new();
    let late = record("h0", 1, 50, submit(0, 1));

    let stale_claim = shard.apply(record("h1", 1, 1, ShardEvent::Claim));
    let claim = shard.apply(record("h1", 2, 1, ShardEvent::Claim));
    let of_former_owner = shard.apply(late);
    let with_new_epoch = shard.apply(record("h0", 2, 51, submit(0, 1)));
    let claim_again = shard.apply(record("h1", 2, 1, ShardEvent::Claim));

    assert_eq!(stale_claim, Err(ShardRefusal::StaleEpoch));
    assert_eq!(claim, Ok(()));
    assert_eq!(of_former_owner, Err(ShardRefusal::StaleEpoch));
    assert_eq!(with_new_epoch, Err(ShardRefusal::NotOwner));
    assert_eq!(claim_again, Err(ShardRefusal::StaleEpoch));
}

#[test]
fn a_later_incarnation_ends_what_ran_before() {
    let mut shard = OwnedShard::new();
    shard.add_all([
        worker(0, 1),
        submit(0, 2),
        start(0, 0, 1, 0),
        start(0, 1, 1, 0),
    ]);

    shard.add_all([worker(0, 2)]);

    assert!(shard.state.open_attempts().is_empty());
    assert_eq!(shard.state.runs()[&run_id(0)].waiting_tasks().len(), 2);
    assert_reservations(&shard.state);
}

#[test]
fn a_success_after_a_cancellation_counts_no_result() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), submit(0, 1), start(0, 0, 1, 0)]);

    shard.add_all([ShardEvent::Cancel { run: run_id(0) }]);
    shard.add_all([end(0, 0, 1, AttemptEnd::Succeeded)]);

    let run = &shard.state.runs()[&run_id(0)];
    assert_eq!((run.status, run.done), (RunStatus::Cancelled, 0));
}

#[test]
fn a_run_fails_by_failures_on_several_workers_only() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1), submit(0, 1)]);

    shard.add_all([start(0, 0, 1, 0), end(0, 0, 1, failed())]);
    shard.add_all([start(0, 0, 2, 0), end(0, 0, 2, failed())]);
    let after_one_worker = shard.state.runs()[&run_id(0)].status;
    shard.add_all([start(0, 0, 3, 1), end(0, 0, 3, failed())]);

    assert_eq!(after_one_worker, RunStatus::Active);
    let run = &shard.state.runs()[&run_id(0)];
    assert_eq!(run.status, RunStatus::Failed);
    assert_eq!(run.cause.as_deref(), Some("task 0: broken"));
}

#[test]
fn a_quarantined_worker_takes_one_probe_and_a_success_frees_it() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1)]);
    for run in 0..3 {
        shard.add_all([
            submit(run, 3),
            start(run, 0, 1, 0),
            end(run, 0, 1, failed()),
        ]);
    }

    let probe = shard.add(start(0, 1, 1, 0));
    let second = shard.add(start(0, 2, 1, 0));
    shard.add_all([end(0, 1, 1, AttemptEnd::Succeeded)]);
    let after = shard.add(start(0, 2, 1, 0));

    assert_eq!((probe, second), (Ok(()), Err(ShardRefusal::Quarantined)));
    assert_eq!(after, Ok(()));
}

#[test]
fn closed_runs_are_pruned_by_count_and_their_ids_stay_taken() {
    let mut shard = OwnedShard::new();
    for run in 0..=RETAINED_CLOSED_RUNS_MAX {
        shard.add_all([submit(run, 1), ShardEvent::Cancel { run: run_id(run) }]);
    }

    let again = shard.add(submit(0, 1));

    assert_eq!(shard.state.runs().len(), RETAINED_CLOSED_RUNS_MAX);
    assert_eq!(again, Err(ShardRefusal::RunPruned));
}

#[test]
fn a_snapshot_of_which_a_piece_is_missing_is_passed_over() {
    let mut shard = OwnedShard::new();
    (0..3_000).for_each(|run| shard.add_all([submit(run, 1)]));
    let chunks = shard.state.to_chunks();
    let mut assembler = SnapshotAssembler::default();

    chunks.iter().skip(1).for_each(|chunk| assembler.add(chunk));
    assembler.add("not a chunk");

    assert!(chunks.len() > 1);
    assert_eq!(assembler.into_newest(), None);
}

#[test]
fn failures_on_a_quarantined_worker_do_not_count_against_the_task() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1), submit(0, 2)]);
    shard.add_all([start(0, 0, 1, 0), end(0, 0, 1, failed())]);
    for run in 1..3 {
        shard.add_all([
            submit(run, 1),
            start(run, 0, 1, 0),
            end(run, 0, 1, failed()),
        ]);
    }

    let is_quarantined = shard.state.workers().values().any(|w| w.is_quarantined());
    shard.add_all([start(0, 0, 2, 0), end(0, 0, 2, failed())]);
    let task = &shard.state.runs()[&run_id(0)].tasks[0];

    assert!(is_quarantined);
    assert!(
        matches!(task, TaskState::Waiting { failures: 1, .. }),
        "{task:?}"
    );
}

#[test]
fn incomplete_snapshots_are_kept_in_a_bounded_number() {
    let mut shard = OwnedShard::new();
    (0..3_000).for_each(|run| shard.add_all([submit(run, 1)]));
    let mut snapshots = Vec::new();
    for run in 3_000..3_006 {
        shard.add_all([submit(run, 1)]);
        snapshots.push(shard.state.to_chunks());
    }
    let mut assembler = SnapshotAssembler::default();

    for chunks in &snapshots {
        assembler.add(&chunks[0]);
    }
    snapshots[0][1..]
        .iter()
        .for_each(|chunk| assembler.add(chunk));
    let oldest = assembler.clone().into_newest();
    snapshots[5][1..]
        .iter()
        .for_each(|chunk| assembler.add(chunk));

    assert_eq!(oldest, None);
    assert_eq!(assembler.into_newest(), Some(shard.state));
}
