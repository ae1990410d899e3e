//! Life cycle of runs, tasks and workers: run summaries, evictions, quarantine and cancellations.

use std::sync::atomic::Ordering;
use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_scheduler::RunCommandError;
use dotterelhook_scheduler::ShardCommand;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::sizes::Resources;
use tokio::sync::oneshot;

use crate::world::DEADLINE_AT_UNIX_MS;
use crate::world::HOSTS;
use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;
use crate::world::shard;

#[tokio::test(start_paused = true)]
async fn work_on_a_leaving_worker_resumes_once_from_its_checkpoint() {
    let mut world = World::with_owner().await;
    world.submit(&run_id("run"), &job(1, 20_000, 1_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(2_000).await;
    let state = world.state().await;
    let open = state.open_attempts().values().next().expect("an attempt");
    let worker: usize = open.worker.as_str()[1..].parse().expect("an index");

    world.views.set_leaving(worker, true);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let started = world.fleet.started();
    let checkpoints: Vec<bool> = started.values().map(Option::is_some).collect();
    assert_eq!(checkpoints, [false, true]);
    let resumed = started.values().flatten().next().expect("a checkpoint");
    assert!(resumed.starts_with("run:0:1@"), "{resumed}");
    assert_eq!(world.fleet.intervals().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_shrinks_gives_up_its_newest_work() {
    let mut world = World::with_owner().await;
    world.submit(&run_id("run"), &job(6, 30_000, 2_000));
    world
        .wait_until("starts", |state| state.open_attempts().len() == 6)
        .await;
    world.advance(1_000).await;

    world.fleet.set_capacity(0, Resources::new(2_000, 16_000));
    world
        .wait_until("an eviction", |state| state.open_attempts().len() == 5)
        .await;

    let state = world.state().await;
    let worker_state = state.workers().values().next().expect("a worker");
    assert!(worker_state.used.fits_in(&worker_state.capacity));
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_fails_several_jobs_is_quarantined_and_returns() {
    let mut world = World::with_owner().await;
    world.fleet.set_fails_all(0, true);

    for index in 0..8 {
        let (run, name) = (format!("run-{index}"), format!("job-{}", index % 4));
        let result = world.submit_named(&run, &name, &job(6, 1_000, 1_000)).await;
        assert_eq!(result, Ok(()));
    }
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    let quarantined = world.state().await;
    world.fleet.set_fails_all(0, false);
    world.advance(40_000).await;
    for index in 0..8 {
        let run = format!("later-{index}");
        let _ = world
            .submit_named(&run, "job-0", &job(6, 1_000, 1_000))
            .await;
    }
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    assert!(
        quarantined
            .runs()
            .values()
            .all(|run| run.status == RunStatus::Complete)
    );
    assert!(
        quarantined
            .workers()
            .values()
            .next()
            .expect("w0")
            .is_quarantined()
    );
    let state = world.state().await;
    assert!(
        !state
            .workers()
            .values()
            .next()
            .expect("w0")
            .is_quarantined()
    );
}

#[tokio::test(start_paused = true)]
async fn a_job_that_fails_on_several_workers_fails_and_quarantines_none() {
    let mut world = World::with_owner().await;
    (0..WORKERS).for_each(|worker| world.fleet.set_fails_all(worker, true));

    world.submit(&run_id("run"), &job(2, 1_000, 1_000));
    world
        .wait_until("the end", |state| {
            !state.runs().is_empty() && state.active_runs().is_empty()
        })
        .await;

    let state = world.state().await;
    let run = &state.runs()[&run_id("run")];
    assert_eq!(run.status, RunStatus::Failed);
    assert!(
        run.cause
            .as_deref()
            .is_some_and(|cause| cause.contains("fails everything"))
    );
    assert!(
        state
            .workers()
            .values()
            .all(|worker| !worker.is_quarantined())
    );
}

#[tokio::test(start_paused = true)]
async fn a_job_too_large_for_every_worker_is_refused_with_the_reason() {
    let mut world = World::with_owner().await;

    let result = world
        .submit_named("run", "cut", &job(1, 1_000, 5_000))
        .await;

    let Err(RunCommandError::NeverRunnable(reason)) = result else {
        panic!("{result:?}");
    };
    assert!(
        reason.contains("cpu_milli") && reason.contains("w0"),
        "{reason}"
    );
    assert!(world.state().await.runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_waiting_run_fails_when_the_workers_shrink_below_it() {
    let mut world = World::with_owner().await;
    world.submit(&run_id("run"), &job(9, 30_000, 4_000));
    world
        .wait_until("starts", |state| state.open_attempts().len() == 3)
        .await;

    (0..WORKERS).for_each(|w| world.fleet.set_capacity(w, Resources::new(2_000, 16_000)));
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let state = world.state().await;
    let cause = state.runs()[&run_id("run")].cause.clone().expect("a cause");
    assert!(cause.contains("4000m"), "{cause}");
}

#[tokio::test(start_paused = true)]
async fn a_run_past_its_deadline_is_counted_and_still_ends() {
    let mut world = World::with_owner().await;
    let owner = world.owner().await.expect("an owner");
    world.submit(&run_id("run"), &job(1, DEADLINE_AT_UNIX_MS, 1_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;

    tokio::time::sleep(Duration::from_millis(DEADLINE_AT_UNIX_MS)).await;

    let line = world.list_runs(owner).await.remove(0);
    assert!(line.is_overdue);
    let metrics = &world.process(owner).expect("a process").metrics;
    assert_eq!(metrics.overdue_runs.get(), 1);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    assert_eq!(world.state().await.runs()[&run_id("run")].done, 1);
}

/// Cancellations and starts share the batches. A flood of cancellations must not starve starts, nor
/// need an append for each cancellation.
#[tokio::test(start_paused = true)]
async fn ten_thousand_cancellations_hold_up_no_start() {
    const RUNS: usize = 10_000;
    let mut world = World::with_owner().await;
    let owner = world.owner().await.expect("an owner");
    let commands = world.process(owner).expect("a process").commands.clone();
    let mut answers = Vec::new();
    for index in 0..RUNS {
        let (reply, answer) = oneshot::channel();
        let spec = world.spec(&job(1, 3_600_000, 4_000));
        let run = run_id(&format!("run-{index}"));
        let _ = commands
            .send(ShardCommand::Submit { run, spec, reply })
            .await;
        answers.push(answer);
    }
    for answer in answers {
        assert_eq!(answer.await, Ok(Ok(())));
    }
    let appends = world.appends.load(Ordering::SeqCst);

    for index in 0..RUNS {
        let (reply, _) = oneshot::channel();
        let (team, job) = (
            world.spec(&job(1, 1, 1)).team,
            world.spec(&job(1, 1, 1)).job,
        );
        let run = run_id(&format!("run-{index}"));
        let command = ShardCommand::Cancel {
            run,
            team,
            job,
            reply,
        };
        let _ = commands.send(command).await;
    }
    world.submit(&run_id("fresh"), &job(1, 1_000, 1_000));
    world
        .wait_until("the fresh run's end", |state| {
            let fresh = state.runs().get(&run_id("fresh"));
            fresh.is_some_and(|run| run.status == RunStatus::Complete)
        })
        .await;

    let state = world.state().await;
    assert!(state.active_runs().is_empty());
    let appends = world.appends.load(Ordering::SeqCst) - appends;
    assert!(appends < 100, "{appends} appends");
}

/// After the records have expired from the log, new processes must restore the runs from a snapshot
/// and must not start running tasks again.
#[tokio::test(start_paused = true)]
async fn a_new_process_goes_on_from_a_snapshot_after_records_expired() {
    let mut world = World::with_owner().await;
    world.submit(&run_id("run"), &job(2, 4_000_000, 1_000));
    world
        .wait_until("starts", |state| state.open_attempts().len() == 2)
        .await;
    let before = world.state().await;

    tokio::time::sleep(Duration::from_secs(1_900)).await;
    let end = world
        .log
        .read(&shard().stream(), Offset(0), 1, Duration::ZERO)
        .await;
    world
        .log
        .expire(&shard().stream(), end.expect("a page").end_offset);
    (0..HOSTS).for_each(|host| world.kill(host));
    (0..HOSTS).for_each(|host| world.start(host));
    tokio::time::sleep(Duration::from_secs(30)).await;

    let mut lines = Vec::new();
    for host in 0..HOSTS {
        let found = world.list_runs(host).await;
        lines.extend(found.into_iter().filter(|line| line.is_from_owner));
    }
    assert_eq!(before.runs().len(), 1);
    assert_eq!(lines.len(), 1);
    assert_eq!((lines[0].running, lines[0].status), (2, RunStatus::Active));
    assert_eq!(world.fleet.intervals().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn work_of_a_restarted_worker_is_counted_as_lost_and_starts_again() {
    let mut world = World::with_owner().await;
    let owner = world.owner().await.expect("an owner");
    world.submit(&run_id("run"), &job(3, 20_000, 4_000));
    world
        .wait_until("starts", |state| state.open_attempts().len() == 3)
        .await;
    world.advance(1_000).await;

    world.fleet.restart(0);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let metrics = &world.process(owner).expect("a process").metrics;
    assert_eq!(metrics.lost_attempts.get(), 1);
    assert_eq!(world.fleet.intervals().len(), 4);
    assert_eq!(world.state().await.runs()[&run_id("run")].done, 3);
}
