//! Ends that come after a loss, and runs that move between shards.
//!
//! Guards against results that are dropped or counted twice, and against a run with two homes.

mod shard_fixture;

use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_state::shard::TaskState;
use shard_fixture::OwnedShard;
use shard_fixture::adopt;
use shard_fixture::attempt;
use shard_fixture::domain;
use shard_fixture::end;
use shard_fixture::failed;
use shard_fixture::run_id;
use shard_fixture::start;
use shard_fixture::submit;
use shard_fixture::worker;

fn move_away(run: usize) -> ShardEvent {
    let (run, to) = (run_id(run), domain());
    ShardEvent::Move { run, to }
}

#[test]
fn a_success_reported_after_a_loss_counts_once_and_leaves_the_newer_attempt_to_be_stopped() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1), submit(0, 2), start(0, 0, 1, 0)]);
    shard.add_all([end(0, 0, 1, AttemptEnd::Lost), start(0, 0, 2, 1)]);

    shard.add_all([end(0, 0, 1, AttemptEnd::Succeeded)]);
    let again = shard.add(end(0, 0, 1, AttemptEnd::Succeeded));
    let needs_newer = shard.state.runs()[&run_id(0)].needs_attempt(&attempt(0, 0, 2));
    shard.add_all([end(0, 0, 2, AttemptEnd::Succeeded)]);

    assert_eq!(again, Err(ShardRefusal::NotOpen));
    assert!(!needs_newer);
    let run = &shard.state.runs()[&run_id(0)];
    assert_eq!((run.done, run.open_tasks()), (1, 0));
    assert_eq!(run.tasks[0], TaskState::Done);
}

#[test]
fn a_failure_reported_after_a_loss_counts_once_against_the_limit() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1), submit(0, 1), start(0, 0, 1, 0)]);
    shard.add_all([end(0, 0, 1, AttemptEnd::Lost), start(0, 0, 2, 1)]);

    shard.add_all([end(0, 0, 1, failed())]);
    let again = shard.add(end(0, 0, 1, failed()));
    let before = shard.state.runs()[&run_id(0)].status;
    shard.add_all([end(0, 0, 2, failed())]);

    assert_eq!(again, Err(ShardRefusal::NotOpen));
    assert_eq!(before, RunStatus::Active);
    assert_eq!(shard.state.runs()[&run_id(0)].status, RunStatus::Failed);
}

/// A restarted worker knows nothing of its former attempts, and an ended run needs no result. Their
/// entries must not stay, or the state would grow without a bound.
#[test]
fn a_loss_is_forgotten_when_its_worker_restarts_or_its_run_ends() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), worker(1, 1), submit(0, 1), submit(1, 1)]);
    shard.add_all([start(0, 0, 1, 0), start(1, 0, 1, 1)]);
    shard.add_all([0, 1].map(|run| end(run, 0, 1, AttemptEnd::Lost)));
    assert_eq!(shard.state.lost_attempts().len(), 2);

    shard.add_all([worker(0, 2), ShardEvent::Cancel { run: run_id(1) }]);

    assert!(shard.state.lost_attempts().is_empty());
    let late = shard.add(end(0, 0, 1, AttemptEnd::Succeeded));
    assert_eq!(late, Err(ShardRefusal::NotOpen));
}

#[test]
fn a_run_moves_only_when_none_of_its_attempts_may_still_count() {
    let mut shard = OwnedShard::new();
    shard.add_all([worker(0, 1), submit(0, 2), start(0, 0, 1, 0)]);

    let open = shard.add(move_away(0));
    shard.add_all([end(0, 0, 1, AttemptEnd::Lost)]);
    let lost = shard.add(move_away(0));
    shard.add_all([end(0, 0, 1, AttemptEnd::Succeeded), move_away(0)]);
    let started = shard.add(start(0, 1, 1, 0));

    let refused = Err(ShardRefusal::AttemptsOpen);
    assert_eq!((open, lost), (refused, refused));
    assert_eq!(started, Err(ShardRefusal::RunEnded));
    let (to, moved) = shard.state.moved_run(&run_id(0)).expect("the run");
    assert_eq!((to, moved.moves), (domain(), 1));
    assert_eq!(moved.tasks[0], TaskState::Done);
    shard.add_all([ShardEvent::Delivered { run: run_id(0) }]);
    assert!(shard.state.undelivered_runs().is_empty());
}

/// A run may come back to a shard that it left. Messages of earlier moves may come again at any time.
#[test]
fn a_run_comes_back_by_a_later_move_only() {
    let mut shard = OwnedShard::new();
    shard.add_all([adopt(0, 1), move_away(0)]);

    let undelivered = shard.add(adopt(0, 3));
    shard.add_all([ShardEvent::Delivered { run: run_id(0) }, adopt(0, 1)]);
    let after_repeat = shard.state.runs()[&run_id(0)].status;
    shard.add_all([adopt(0, 3), adopt(0, 3)]);

    assert_eq!(undelivered, Err(ShardRefusal::RunIdTaken));
    assert_eq!(after_repeat, RunStatus::Moved);
    let run = &shard.state.runs()[&run_id(0)];
    assert_eq!((run.status, run.moves, run.done), (RunStatus::Active, 3, 1));
}

#[test]
fn an_adopted_run_does_not_replace_one_that_was_submitted() {
    let mut shard = OwnedShard::new();
    shard.add_all([submit(0, 2)]);

    assert_eq!(shard.add(adopt(0, 1)), Err(ShardRefusal::RunIdTaken));
    assert_eq!(shard.state.runs()[&run_id(0)].done, 0);
}
