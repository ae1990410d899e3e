//! Quotas, interference control and urgent work, from the shard's task to the workers.

use dotterelhook_scheduler::RunCommandError;
use dotterelhook_state::config::BatchJob;
use dotterelhook_state::config::Priority;
use dotterelhook_types::sizes::Resources;

use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;
use crate::world::safe_lease_times;

const TASK_TIME_MS: u64 = 20_000;
const TASK_CPU_MILLI: u64 = 2_000;
const TASK_MEMORY_MB: u64 = 1_000;
const LONG_TASK_MS: u64 = 3_600_000;
const QUIET_US: u64 = 10_000;
const SLOWED_US: u64 = 16_000;

fn sized_job(tasks: u32, priority: Priority) -> BatchJob {
    let mut job = job(tasks, TASK_TIME_MS, TASK_CPU_MILLI);
    job.size = Resources::new(TASK_CPU_MILLI, TASK_MEMORY_MB);
    job.priority = priority;
    job
}

#[tokio::test(start_paused = true)]
async fn a_team_never_takes_more_than_its_quota() {
    let mut world = World::with_owner().await;
    let quota = Resources::new(2 * TASK_CPU_MILLI, 2 * TASK_MEMORY_MB);
    world.views.set_quota(&quota);
    world.submit(&run_id("night"), &sized_job(5, Priority::Normal));

    for _ in 0..200 {
        world.advance(1_000).await;
        let state = world.state().await;
        assert!(state.open_attempts().len() <= 2);
    }

    let state = world.state().await;
    assert!(state.active_runs().is_empty());
    assert_eq!(world.fleet.intervals().len(), 5);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_slows_a_service_down_is_throttled_then_evicted() {
    let mut world = World::with_owner().await;
    for _ in 0..60 {
        world.fleet.report_latencies(QUIET_US, SLOWED_US);
        world.advance(1_000).await;
    }
    world.submit(&run_id("noisy"), &job(1, LONG_TASK_MS, TASK_CPU_MILLI));

    let mut evicted = false;
    for _ in 0..300 {
        world.fleet.report_latencies(QUIET_US, SLOWED_US);
        world.advance(1_000).await;
        evicted |= world.fleet.started().len() > 1;
    }

    let throttled = world.fleet.throttled();
    let (first, percent) = throttled.first().expect("a throttled attempt");
    assert_eq!(first.task.run, run_id("noisy"));
    assert!(*percent < 100);
    assert!(evicted, "the attempt was never taken off its worker");
}

#[tokio::test(start_paused = true)]
async fn urgent_work_evicts_other_work_which_resumes_once() {
    let mut world = World::with_owner().await;
    let fill = 2 * WORKERS as u32 + 2;
    world.submit(&run_id("fill"), &sized_job(fill, Priority::Low));
    world
        .wait_until("starts", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(2_000).await;

    world.submit(&run_id("urgent"), &sized_job(1, Priority::Urgent));
    world
        .wait_until("the urgent start", |state| {
            let mut open = state.open_attempts().keys();
            open.any(|attempt| attempt.task.run.as_str() == "urgent")
        })
        .await;

    let evicted = world.state().await;
    let fills = evicted.runs()[&run_id("fill")].done;
    assert_eq!(fills, 0, "the urgent task waited for the end of another");
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    let resumed = world.fleet.started();
    let resumed = resumed.values().filter(|checkpoint| checkpoint.is_some());
    assert_eq!(resumed.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_throttle_is_repeated_once_the_worker_answers() {
    let mut world = World::with_owner().await;
    for _ in 0..60 {
        world.fleet.report_latencies(QUIET_US, SLOWED_US);
        world.advance(1_000).await;
    }
    world.fleet.set_loses_throttles(true);
    world.submit(&run_id("noisy"), &job(1, LONG_TASK_MS, TASK_CPU_MILLI));
    for _ in 0..300 {
        world.fleet.report_latencies(QUIET_US, SLOWED_US);
        if world.fleet.lost_throttles() > 0 {
            break;
        }
        world.advance(200).await;
    }

    world.fleet.set_loses_throttles(false);
    world.advance(1_500).await;

    let throttled = world.fleet.throttled();
    assert!(world.fleet.lost_throttles() > 0, "no throttle was tried");
    assert!(!throttled.is_empty(), "the lost throttle was not repeated");
}

#[tokio::test(start_paused = true)]
async fn a_removed_worker_is_forgotten_when_its_last_task_has_ended() {
    let mut world = World::with_owner().await;
    let last = WORKERS - 1;
    world.submit(
        &run_id("fill"),
        &sized_job(2 * WORKERS as u32, Priority::Normal),
    );
    world
        .wait_until("starts on all workers", |state| {
            state
                .workers()
                .values()
                .all(|worker| !worker.open.is_empty())
        })
        .await;

    world.views.remove_last_worker();
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    world.advance(5_000).await;
    let before = world.fleet.renewals(last);
    world.advance(20_000).await;

    assert_eq!(world.fleet.renewals(last), before);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_only_a_removed_worker_could_run_is_refused() {
    let mut world = World::new(safe_lease_times());
    let mut large = sized_job(1, Priority::Normal);
    large.size = Resources::new(50_000, TASK_MEMORY_MB);
    world
        .fleet
        .set_capacity(WORKERS - 1, Resources::new(60_000, 64_000));
    world
        .wait_until("an owner", |state| state.workers().len() == WORKERS)
        .await;

    world.views.remove_last_worker();
    world.advance(2_000).await;
    let refused = world.submit_named("large", "cut", &large).await;

    let is_refused = matches!(refused, Err(RunCommandError::NeverRunnable(_)));
    assert!(is_refused, "{refused:?}");
}
