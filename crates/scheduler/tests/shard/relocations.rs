//! Runs that leave an evacuated failure domain, and runs that are adopted.
//!
//! Guards against work that is stopped although nothing else has room for it, against a run with two
//! homes, and against progress that is lost on the way.

use dotterelhook_scheduler::RunCommandError;
use dotterelhook_scheduler::ShardCommand;
use dotterelhook_scheduler::relocation::RoomRequest;
use dotterelhook_state::config::BatchJob;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::sizes::Resources;
use tokio::sync::oneshot;

use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;

const LONG_MS: u64 = 60_000;

/// Returns a world in which all tasks of a run are running.
async fn running_world(job: &BatchJob) -> World {
    let mut world = World::with_owner().await;
    world.submit(&run_id("run"), job);
    world
        .wait_until("all starts", |state| {
            state.open_attempts().len() == job.tasks as usize
        })
        .await;
    world.advance(2_000).await;
    world
}

async fn command<T>(
    world: &World,
    command: impl FnOnce(oneshot::Sender<Result<T, RunCommandError>>) -> ShardCommand,
) -> Result<T, RunCommandError> {
    let owner = world.owner().await.ok_or(RunCommandError::NotOwner)?;
    let process = world.process(owner).ok_or(RunCommandError::NotOwner)?;
    let (reply, answer) = oneshot::channel();
    let _ = process.commands.send(command(reply)).await;
    answer.await.unwrap_or(Err(RunCommandError::OutcomeUnknown))
}

async fn adopt(world: &World, moved: &MovedRun) -> Result<(), RunCommandError> {
    let moved = Box::new(moved.clone());
    command(world, |reply| ShardCommand::Adopt { moved, reply }).await
}

async fn kill_owner(world: &mut World) {
    let epoch = world.state().await.epoch();
    let owner = world.owner().await.expect("an owner");
    world.kill(owner);
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_run_with_checkpoints_leaves_as_a_whole_when_there_is_room_elsewhere() {
    let mut world = running_world(&job(2, LONG_MS, 1_000)).await;
    world.domain.set_room(2);

    world.set_evacuated(true);
    world
        .wait_until("the move", |state| {
            let run = &state.runs()[&run_id("run")];
            run.status == RunStatus::Moved && state.undelivered_runs().is_empty()
        })
        .await;
    let cancelled = command(&world, |reply| ShardCommand::Cancel {
        run: run_id("run"),
        team: "night".parse().expect("a name"),
        job: "cut".parse().expect("a name"),
        reply,
    });
    let cancelled = cancelled.await;
    world.set_evacuated(false);
    world.advance(20_000).await;

    let received = world.domain.received();
    assert_eq!(received.len(), 1);
    let resumes = |task: &TaskState| {
        matches!(
            task,
            TaskState::Waiting {
                attempts: 1,
                checkpoint: Some(_),
                ..
            }
        )
    };
    assert!(received[0].1.tasks.iter().all(resumes), "{received:?}");
    assert_eq!(world.fleet.intervals().len(), 2);
    let pampanga = "pampanga".parse().expect("a name");
    assert_eq!(cancelled, Err(RunCommandError::Moved(pampanga)));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_stopped_without_room_for_all_that_runs() {
    let mut world = running_world(&job(3, LONG_MS, 1_000)).await;
    world.domain.set_room(2);

    world.set_evacuated(true);
    world.advance(20_000).await;

    let intervals = world.fleet.intervals();
    assert_eq!(intervals.len(), 3);
    assert!(intervals.iter().all(|interval| interval.to_ms.is_none()));
}

#[tokio::test(start_paused = true)]
async fn a_run_without_checkpoints_runs_on_and_one_that_waits_leaves() {
    let mut without = job(3, LONG_MS, 3_000);
    without.checkpointable = false;
    let mut world = running_world(&without).await;
    world.submit(&run_id("waits"), &without);
    world.advance(1_000).await;
    world.domain.set_room(100);

    world.set_evacuated(true);
    world.advance(20_000).await;

    let received = world.domain.received();
    let runs: Vec<&str> = received
        .iter()
        .map(|(_, moved)| moved.run.as_str())
        .collect();
    assert_eq!(runs, ["waits"]);
    let intervals = world.fleet.intervals();
    assert!(intervals.iter().all(|interval| interval.to_ms.is_none()));
}

#[tokio::test(start_paused = true)]
async fn a_run_is_handed_over_until_an_answer_comes_also_by_a_new_owner() {
    let mut world = running_world(&job(2, LONG_MS, 1_000)).await;
    world.domain.set_room(2);
    world.domain.set_loses_answers(true);
    world.set_evacuated(true);
    world
        .wait_until("the move", |state| !state.undelivered_runs().is_empty())
        .await;
    world.advance(3_000).await;

    kill_owner(&mut world).await;
    let before = world.domain.received().len();
    world.set_evacuated(false);
    world.advance(5_000).await;
    world.domain.set_loses_answers(false);
    world
        .wait_until("the delivery", |state| state.undelivered_runs().is_empty())
        .await;
    world.advance(10_000).await;

    let received = world.domain.received();
    assert!(received.len() > before && before > 1, "{}", received.len());
    assert!(received.iter().all(|(_, moved)| *moved == received[0].1));
    assert_eq!(world.fleet.intervals().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_run_stays_when_the_evacuation_ends_before_the_move_is_recorded() {
    let mut world = running_world(&job(2, 20_000, 1_000)).await;
    world.domain.set_room(2);

    // The workers answer no order until the evacuation has ended.
    (0..WORKERS).for_each(|worker| world.fleet.freeze(worker, true));
    world.set_evacuated(true);
    world.advance(1_000).await;
    let owner = world.owner().await.expect("an owner");
    let metrics = &world.process(owner).expect("a process").metrics;
    let stopped = metrics.evacuated_attempts.get();
    world.set_evacuated(false);
    (0..WORKERS).for_each(|worker| world.fleet.freeze(worker, false));
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let run = world.state().await.runs()[&run_id("run")].clone();
    assert_eq!(stopped, 2);
    assert_eq!((run.status, run.done), (RunStatus::Complete, 2));
    assert_eq!(world.domain.received(), []);
}

/// Messages between failure domains come again, also late and at another owner.
#[tokio::test(start_paused = true)]
async fn an_adopted_run_goes_on_from_its_checkpoints_and_only_once() {
    let mut world = World::with_owner().await;
    let waiting = |checkpoint: Option<&str>| TaskState::Waiting {
        attempts: 1,
        failures: 0,
        checkpoint: checkpoint.map(Into::into),
    };
    let moved = MovedRun {
        run: run_id("run"),
        spec: world.spec(&job(3, 5_000, 1_000)),
        moves: 1,
        tasks: vec![TaskState::Done, waiting(Some("run:1:1@9")), waiting(None)],
        failed_on: Default::default(),
        crashes: Default::default(),
        is_overdue: false,
    };

    let first = adopt(&world, &moved).await;
    let again = adopt(&world, &moved).await;
    kill_owner(&mut world).await;
    let at_the_next = adopt(&world, &moved).await;
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    let late = adopt(&world, &moved).await;
    world.advance(10_000).await;

    assert_eq!([first, again, at_the_next, late], [const { Ok(()) }; 4]);
    let run = world.state().await.runs()[&run_id("run")].clone();
    assert_eq!((run.status, run.done), (RunStatus::Complete, 3));
    let started: Vec<(String, Option<Box<str>>)> = world
        .fleet
        .started()
        .into_iter()
        .map(|(attempt, checkpoint)| (attempt.to_string(), checkpoint))
        .collect();
    let expected = [
        ("run:1:2".to_owned(), Some("run:1:1@9".into())),
        ("run:2:2".to_owned(), None),
    ];
    assert_eq!(started, expected);
}

#[tokio::test(start_paused = true)]
async fn room_is_what_could_start_now_within_the_quota_and_none_during_an_evacuation() {
    let mut world = World::with_owner().await;
    let request = RoomRequest {
        team: "night".parse().expect("a name"),
        size: job(1, LONG_MS, 1_500).size,
    };
    let count = |reply| ShardCommand::CountRoom {
        request: request.clone(),
        reply,
    };

    let idle = command(&world, count).await;
    world.views.set_leaving(0, true);
    world.advance(1_000).await;
    let leaving = command(&world, count).await;
    world.views.set_quota(&Resources::new(4_500, 16_000));
    world.submit(&run_id("run"), &job(1, LONG_MS, 1_000));
    world.advance(1_000).await;
    let quota = command(&world, count).await;
    world.submit(&run_id("waits"), &job(2, LONG_MS, 2_000));
    world.advance(1_000).await;
    let waiting = command(&world, count).await;
    world.cancel(&run_id("waits"));
    world.advance(3_000).await;
    let cancelled = command(&world, count).await;
    world.set_evacuated(true);
    let evacuated = command(&world, count).await;

    let counted = [idle, leaving, quota, waiting, cancelled, evacuated];
    assert_eq!(counted, [6, 4, 2, 0, 2, 0].map(Ok));
}
