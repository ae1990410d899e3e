//! Tasks under which one worker after the other is lost.

mod shard_fixture;

use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::CRASHES_MAX;
use dotterelhook_state::shard::Run;
use dotterelhook_state::shard::SnapshotAssembler;
use shard_fixture::OwnedShard;
use shard_fixture::end;
use shard_fixture::run_id;
use shard_fixture::start;
use shard_fixture::submit;
use shard_fixture::worker;

/// A shard with a run of one task and a neighbour, which starts before it on each worker.
fn shard_with_neighbour() -> OwnedShard {
    let mut shard = OwnedShard::new();
    shard.add_all([submit(0, 1), submit(1, 1)]);
    shard
}

/// Starts the neighbour and then the task on a worker, which restarts.
fn crash(shard: &mut OwnedShard, number: u32) {
    let at = number as usize;
    shard.add_all([
        worker(at, 1),
        start(1, 0, number, at),
        start(0, 0, number, at),
        worker(at, 2),
    ]);
}

fn run_of(shard: &OwnedShard, index: usize) -> &Run {
    &shard.state.runs()[&run_id(index)]
}

/// Guards against a task that starts without end on workers that restart under it, and against a
/// neighbour that is taken for the cause.
#[test]
fn only_the_task_that_was_started_last_is_counted() {
    let mut shard = shard_with_neighbour();

    for number in 1..=CRASHES_MAX {
        assert_eq!(run_of(&shard, 0).crash_looping_task(), None);
        crash(&mut shard, number);
    }

    assert_eq!(run_of(&shard, 0).crash_looping_task(), Some(0));
    assert_eq!(run_of(&shard, 1).crash_looping_task(), None);
    assert!(run_of(&shard, 1).crashes.is_empty());
}

/// Guards against counts that end with the process: a new owner folds from a snapshot.
#[test]
fn counts_survive_a_snapshot() {
    let mut shard = shard_with_neighbour();
    for number in 1..CRASHES_MAX {
        crash(&mut shard, number);
    }
    let mut assembler = SnapshotAssembler::default();
    for chunk in shard.state.to_chunks() {
        assembler.add(&chunk);
    }

    shard.state = assembler.into_newest().expect("a whole snapshot");
    crash(&mut shard, CRASHES_MAX);

    assert_eq!(run_of(&shard, 0).crash_looping_task(), Some(0));
}

/// Guards against cut workers that count as crashed ones although they report how the attempt ended.
#[test]
fn a_worker_that_reports_the_end_later_does_not_count() {
    let mut shard = shard_with_neighbour();
    shard.add_all([worker(1, 1), start(0, 0, 1, 1)]);

    shard.add_all([end(0, 0, 1, AttemptEnd::Lost)]);
    let counted = run_of(&shard, 0).crashes.get(&0).copied();
    let evicted = AttemptEnd::Evicted { checkpoint: None };
    shard.add_all([end(0, 0, 1, evicted)]);

    assert_eq!(counted, Some(1));
    assert_eq!(run_of(&shard, 0).crashes.get(&0), Some(&0));
}
