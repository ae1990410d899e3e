//! Attempts that were declared lost and whose end the worker reports afterwards.
//!
//! Guards against results that are dropped: a task that is done must not be started again, and a
//! failed attempt must count against the limit once.

use dotterelhook_state::config::BatchJob;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_types::sizes::Resources;

use crate::world::HOSTS;
use crate::world::LinkFault;
use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;

/// Shorter than the lease, so that an attempt ends before its lease does.
const SHORT_MS: u64 = 3_500;
const FULL_CPU_MILLI: u64 = 4_000;

fn set_links(world: &World, worker: usize, fault: LinkFault) {
    for host in 0..HOSTS {
        world.fleet.set_link_fault(host, worker, fault);
    }
}

fn set_all_leaving(world: &World, is_leaving: bool) {
    (0..WORKERS).for_each(|worker| world.views.set_leaving(worker, is_leaving));
}

/// Starts a run of one task and cuts its worker off, so that the end of the attempt is not seen and
/// the attempt is declared lost. Returns the worker's index.
async fn lose_attempt(world: &mut World, job: &BatchJob, may_restart: bool) -> usize {
    world.submit(&run_id("run"), job);
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(400).await;
    let state = world.state().await;
    let open = state.open_attempts().values().next().expect("an attempt");
    let worker = open.worker.as_str()[1..].parse().expect("an index");
    assert_eq!(world.fleet.intervals().len(), 1);

    set_links(world, worker, LinkFault::Cut);
    if !may_restart {
        set_all_leaving(world, true);
    }
    world
        .wait_until("a loss", |state| {
            let mut open = state.open_attempts().keys();
            open.all(|attempt| attempt.number > 1)
        })
        .await;
    worker
}

#[tokio::test(start_paused = true)]
async fn a_task_whose_lost_attempt_turns_out_to_be_done_is_not_started_again() {
    let mut world = World::with_owner().await;
    let worker = lose_attempt(&mut world, &job(1, SHORT_MS, FULL_CPU_MILLI), false).await;

    set_links(&world, worker, LinkFault::None);
    world.advance(3_000).await;
    set_all_leaving(&world, false);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let run = world.state().await.runs()[&run_id("run")].clone();
    assert_eq!((run.status, run.done), (RunStatus::Complete, 1));
    assert_eq!(world.fleet.intervals().len(), 1);
}

/// The successor never saw the attempt; what it needs to count the end must be in the records.
#[tokio::test(start_paused = true)]
async fn a_new_owner_counts_the_end_of_an_attempt_that_the_former_one_declared_lost() {
    let mut world = World::with_owner().await;
    let worker = lose_attempt(&mut world, &job(1, SHORT_MS, FULL_CPU_MILLI), false).await;
    let (owner, epoch) = (world.owner().await, world.state().await.epoch());

    world.kill(owner.expect("an owner"));
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
    set_links(&world, worker, LinkFault::None);
    world.advance(3_000).await;
    set_all_leaving(&world, false);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    assert_eq!(world.fleet.intervals().len(), 1);
    assert_eq!(world.state().await.runs()[&run_id("run")].done, 1);
}

#[tokio::test(start_paused = true)]
async fn a_newer_attempt_is_stopped_when_the_lost_one_turns_out_to_be_done() {
    let mut world = World::with_owner().await;
    let worker = lose_attempt(&mut world, &job(1, SHORT_MS, FULL_CPU_MILLI), true).await;
    world
        .wait_until("a second start", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(400).await;

    set_links(&world, worker, LinkFault::None);
    world
        .wait_until("the end", |state| state.open_attempts().is_empty())
        .await;

    let run = world.state().await.runs()[&run_id("run")].clone();
    let second = world.fleet.intervals()[1].clone();
    let ran_ms = second.to_ms.expect("an end") - second.from_ms;
    assert_eq!((run.status, run.done), (RunStatus::Complete, 1));
    assert!(ran_ms < SHORT_MS, "ran for {ran_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn a_failure_of_a_lost_attempt_counts_once_against_the_limit() {
    let mut world = World::with_owner().await;
    let mut job = job(1, SHORT_MS, FULL_CPU_MILLI);
    job.size = Resources::new(FULL_CPU_MILLI, 1_000);
    job.attempts_max = 1;
    world.submit(&run_id("run"), &job);
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    (0..WORKERS).for_each(|worker| world.fleet.set_fails_all(worker, true));
    let worker = lose_attempt(&mut world, &job, false).await;

    set_links(&world, worker, LinkFault::None);
    world.advance(5_000).await;
    (0..WORKERS).for_each(|other| world.views.set_leaving(other, other == worker));
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    // The limit is one failure on each of two workers: the lost attempt and one more.
    let run = world.state().await.runs()[&run_id("run")].clone();
    assert_eq!(run.status, RunStatus::Failed);
    assert_eq!(world.fleet.intervals().len(), 2);
}
