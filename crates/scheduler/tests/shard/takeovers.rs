//! Takeovers: former owners, late calls and leases that are about to expire.

use dotterelhook_borders::log::LogFault;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardState;

use crate::world::HOSTS;
use crate::world::LinkFault;
use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::safe_lease_times;

pub(crate) const LONG_MS: u64 = 60_000;

/// Returns a world in which one long task runs, with the indexes of its owner and its worker.
pub(crate) async fn running_world(run_time_ms: u64) -> (World, usize, usize) {
    let mut world = World::new(safe_lease_times());
    world
        .wait_until("an owner", |state| state.workers().len() == WORKERS)
        .await;
    let run = "run".parse().expect("a name");
    world.submit(&run, &job(1, run_time_ms, 1_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(1_000).await;
    let owner = world.owner().await.expect("an owner");
    let worker = open_worker(&world.state().await);
    (world, owner, worker)
}

fn open_worker(state: &ShardState) -> usize {
    let open = state
        .open_attempts()
        .values()
        .next()
        .expect("an open attempt");
    open.worker.as_str()[1..].parse().expect("an index")
}

fn cut_links_of_others(world: &World, owner: usize, worker: usize) {
    for host in (0..HOSTS).filter(|host| *host != owner) {
        world.fleet.set_link_fault(host, worker, LinkFault::Cut);
    }
}

/// Cuts the owner off from the log, removes it from the membership and waits for a takeover.
async fn replace_owner(world: &mut World, owner: usize) {
    let epoch = world.state().await.epoch();
    world.process(owner).expect("a process").set_log_cut(true);
    world.views.set_live(owner, None);
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
}

/// A successor must not start a task again while the former owner may still renew its lease. Here
/// only the former owner, which is cut off from the log, reaches the worker.
#[tokio::test(start_paused = true)]
async fn a_former_owner_that_still_renews_is_waited_for() {
    let (mut world, owner, worker) = running_world(LONG_MS).await;

    cut_links_of_others(&world, owner, worker);
    replace_owner(&mut world, owner).await;
    world.advance(20_000).await;

    assert_eq!(world.fleet.intervals().len(), 1);
    let successor = world.owner().await.expect("an owner");
    let lines = world.list_runs(successor).await;
    assert!(lines[0].waits[0].contains("former owner"), "{lines:?}");
    world.advance(60_000).await;
    assert_eq!(world.fleet.intervals().len(), 2);
}

/// Only a read that reached the end of the log shows that no later claim exists. A former owner with a
/// backlog of its own records must not renew leases on the strength of pages before the claim, since
/// its successor waits no longer than the right lasts after the claim.
#[tokio::test(start_paused = true)]
async fn an_owner_whose_reads_lag_behind_the_claim_of_another_stops_renewing_in_time() {
    let (mut world, owner, worker) = running_world(400_000).await;
    let epoch = world.state().await.epoch();
    cut_links_of_others(&world, owner, worker);
    world
        .process(owner)
        .expect("a process")
        .set_slow_reads(true);
    world.advance(6_000).await;

    for index in 0..60 {
        let run = format!("queued-{index}").parse().expect("a name");
        world.submit(&run, &job(1, 500, 1_000));
    }
    world
        .wait_until("the records", |state| state.runs().len() > 60)
        .await;
    world.views.set_live(owner, None);
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
    world.advance(120_000).await;

    let runs_of_the_task = world.fleet.intervals();
    let runs_of_the_task = runs_of_the_task.iter();
    let starts = runs_of_the_task.filter(|interval| interval.attempt.task.run.as_str() == "run");
    assert_eq!(starts.count(), 2);
}

/// Once a worker has answered the successor, its attempts are lost after one lease. Waiting for the
/// former owner's renewal right to expire would only delay the restart.
#[tokio::test(start_paused = true)]
async fn a_worker_that_answered_the_new_owner_refuses_the_former_one() {
    let (mut world, owner, worker) = running_world(LONG_MS).await;

    replace_owner(&mut world, owner).await;
    world.advance(3_000).await;
    cut_links_of_others(&world, owner, worker);
    world.advance(30_000).await;

    assert_eq!(world.fleet.intervals().len(), 2);
    world.heal().await;
    world.check_runs().await;
}

/// A duplicate of a start call that arrives after the attempt has ended must not run it again.
#[tokio::test(start_paused = true)]
async fn a_start_that_comes_again_late_runs_once() {
    let mut world = World::new(safe_lease_times());
    world
        .wait_until("an owner", |state| state.workers().len() == WORKERS)
        .await;
    for worker in 0..WORKERS {
        let owner = world.owner().await.expect("an owner");
        world
            .fleet
            .set_link_fault(owner, worker, LinkFault::Repeat(2_500));
    }
    let run = "run".parse().expect("a name");

    world.submit(&run, &job(1, 300, 1_000));
    world
        .wait_until("an end", |state| {
            state.runs().values().all(|run| run.is_closed())
        })
        .await;
    world.advance(10_000).await;

    assert_eq!(world.fleet.intervals().len(), 1);
}

/// An owner that is frozen during a takeover must not act on its former ownership when it resumes.
#[tokio::test(start_paused = true)]
async fn an_owner_that_wakes_after_its_claim_was_replaced_starts_nothing() {
    let mut world = World::new(safe_lease_times());
    world
        .wait_until("an owner", |state| state.workers().len() == WORKERS)
        .await;
    let owner = world.owner().await.expect("an owner");
    let epoch = world.state().await.epoch();
    let run = "run".parse().expect("a name");

    world.submit(&run, &job(3, 2_000, 3_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.process(owner).expect("a process").freeze();
    world.views.set_live(owner, None);
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
    world.advance(30_000).await;
    world.process(owner).expect("a process").thaw();
    world.advance(30_000).await;

    world.heal().await;
    world.check_runs().await;
    assert_eq!(world.state().await.runs()[&run].done, 3);
}

/// The release of a shard must neither stop running attempts nor lead to a second run of them.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_hands_running_work_over() {
    let (mut world, owner, _) = running_world(LONG_MS).await;

    world.stop(owner).await;
    world
        .wait_until("a successor", |state| state.owner().is_some())
        .await;
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    assert_eq!(world.fleet.intervals().len(), 1);
    assert!(
        world
            .state()
            .await
            .runs()
            .values()
            .all(|run| run.status == RunStatus::Complete)
    );
}

/// Tasks end while the log is down for an hour. Their results must be recorded afterwards, in a few
/// batches instead of one append for each.
#[tokio::test(start_paused = true)]
async fn an_hour_without_the_platform_loses_no_result() {
    let mut times = safe_lease_times();
    times.renewal_right = dotterelhook_scheduler::shard::LeaseTimes::new(times.lease).renewal_right;
    let mut world = World::new(times);
    world
        .wait_until("an owner", |state| state.workers().len() == WORKERS)
        .await;
    let run = "run".parse().expect("a name");
    world.submit(&run, &job(12, 600_000, 1_000));
    world
        .wait_until("all starts", |state| state.open_attempts().len() == 12)
        .await;

    world.log.set_fault(LogFault::Down);
    world.advance(3_600_000).await;
    let before = world.state().await;
    world.log.set_fault(LogFault::None);
    let appends = world.appends.load(std::sync::atomic::Ordering::SeqCst);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    assert_eq!(before.open_attempts().len(), 0);
    assert_eq!(world.fleet.intervals().len(), 12);
    assert_eq!(world.state().await.runs()[&run].done, 12);
    let appends = world.appends.load(std::sync::atomic::Ordering::SeqCst) - appends;
    assert!(appends < 10, "{appends} appends for the backlog");
}
