//! Evacuation of the failure domain under faults.
//!
//! Guards against attempts that start on a worker of an evacuated failure domain, and against work that
//! is stopped although nothing else can take it.

use dotterelhook_state::shard::RunStatus;

use crate::world::HOSTS;
use crate::world::LEASE;
use crate::world::LinkFault;
use crate::world::VIEW_AGE_MAX;
use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;

const LONG_MS: u64 = 60_000;

async fn submit_and_start(world: &mut World, name: &str) {
    world.submit(&run_id(name), &job(1, LONG_MS, 1_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.advance(1_000).await;
}

fn set_links(world: &World, worker: usize, fault: LinkFault) {
    (0..HOSTS).for_each(|host| world.fleet.set_link_fault(host, worker, fault));
}

async fn take_over(world: &mut World) {
    let epoch = world.state().await.epoch();
    let owner = world.owner().await.expect("an owner");
    world.kill(owner);
    world
        .wait_until("a takeover", |state| state.epoch() > epoch)
        .await;
}

#[tokio::test(start_paused = true)]
async fn nothing_starts_during_an_evacuation_and_what_runs_goes_on() {
    let mut world = World::with_owner().await;
    submit_and_start(&mut world, "before").await;

    world.set_evacuated(true);
    world.submit(&run_id("during"), &job(2, 1_000, 1_000));
    world.advance(30_000).await;
    let during = world.fleet.intervals();
    let owner = world.owner().await.expect("an owner");
    let held = world.process(owner).expect("a process").metrics.clone();
    let held_shards = held.held_shards.get();
    let waits = world.list_runs(owner).await;
    world.set_evacuated(false);
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    assert_eq!(during.len(), 1);
    assert_eq!(during[0].to_ms, None);
    assert_eq!(held_shards, 1);
    let waiting = waits.iter().find(|line| line.run == run_id("during"));
    let reasons = &waiting.expect("the run").waits;
    assert!(reasons[0].contains("is evacuated since"), "{reasons:?}");
    assert_eq!(world.fleet.intervals().len(), 3);
    assert_eq!(held.held_shards.get(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_new_owner_starts_nothing_during_an_evacuation_and_keeps_what_runs() {
    let mut world = World::with_owner().await;
    submit_and_start(&mut world, "before").await;
    world.set_evacuated(true);
    world.submit(&run_id("during"), &job(2, 1_000, 1_000));
    world.advance(1_000).await;

    take_over(&mut world).await;
    world.advance(20_000).await;
    take_over(&mut world).await;
    world.advance(20_000).await;

    let during = world.fleet.intervals();
    assert_eq!(during.len(), 1);
    assert_eq!(during[0].to_ms, None);
    world.heal().await;
    world.check_runs().await;
    assert_eq!(world.fleet.intervals().len(), 3);
}

/// A start is recorded before it is sent. One that was recorded before the evacuation was seen must not
/// be sent afterwards, nor hold its resources.
#[tokio::test(start_paused = true)]
async fn a_start_that_was_recorded_but_not_sent_is_taken_back() {
    let mut world = World::with_owner().await;
    let owner = world.owner().await.expect("an owner");
    let metrics = world.process(owner).expect("a process").metrics.clone();
    world
        .process(owner)
        .expect("a process")
        .set_slow_reads(true);
    world.advance(6_000).await;

    world.submit(&run_id("run"), &job(1, LONG_MS, 1_000));
    world
        .wait_until("a start", |state| !state.open_attempts().is_empty())
        .await;
    world.set_evacuated(true);
    world
        .process(owner)
        .expect("a process")
        .set_slow_reads(false);
    world
        .wait_until("the end of the attempt", |state| {
            state.open_attempts().is_empty()
        })
        .await;
    world.advance(10_000).await;

    assert_eq!(metrics.held_starts.get(), 1);
    assert!(world.fleet.intervals().is_empty());
    assert_eq!(world.state().await.active_runs().len(), 1);
}

/// Calls to a worker that does not answer hold up the starts behind them. Those must not be sent once
/// the evacuation is seen.
#[tokio::test(start_paused = true)]
async fn a_start_that_waits_behind_other_calls_is_not_sent() {
    let mut world = World::with_owner().await;
    (1..WORKERS).for_each(|worker| world.views.set_leaving(worker, true));
    world.advance(1_000).await;
    set_links(&world, 0, LinkFault::Delay(20_000));
    world.submit(&run_id("run"), &job(40, LONG_MS, 100));
    world
        .wait_until("starts", |state| state.open_attempts().len() == 40)
        .await;

    world.set_evacuated(true);
    set_links(&world, 0, LinkFault::None);
    world.advance(40_000).await;

    assert_eq!(world.fleet.intervals(), []);
    assert!(world.state().await.open_attempts().is_empty());
}

/// A start that is late or comes again reaches the worker up to one lease after it was sent.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_late_or_repeated_runs_no_later_than_a_lease_after_the_request() {
    for fault in [
        LinkFault::Delay(9_000),
        LinkFault::Repeat(9_000),
        LinkFault::LoseAnswers,
    ] {
        let mut world = World::with_owner().await;
        world.submit(&run_id("run"), &job(3, LONG_MS, 3_000));
        world
            .wait_until("starts", |state| state.open_attempts().len() == 3)
            .await;
        (0..WORKERS).for_each(|worker| set_links(&world, worker, fault));
        let requested_at_ms = world.fleet.now_ms();

        world.set_evacuated(true);
        world.advance(60_000).await;

        let latest_ms = requested_at_ms + LEASE.as_millis() as u64;
        let intervals = world.fleet.intervals();
        let late = intervals.iter().find(|run| run.from_ms > latest_ms);
        assert_eq!(late, None, "{fault:?}");
    }
}

/// An owner that is cut off from the operators' records, or was paused, must not start work on an
/// outdated view.
#[tokio::test(start_paused = true)]
async fn an_owner_with_an_outdated_view_starts_nothing_and_goes_on_renewing() {
    let mut world = World::with_owner().await;
    submit_and_start(&mut world, "before").await;
    let owner = world.owner().await.expect("an owner");
    world
        .process(owner)
        .expect("a process")
        .set_config_cut(true);
    world.set_evacuated(true);
    world.advance(VIEW_AGE_MAX.as_millis() as u64 + 1_000).await;

    world.submit(&run_id("during"), &job(1, 1_000, 1_000));
    world.advance(20_000).await;

    assert_eq!(world.owner().await, Some(owner));
    let during = world.fleet.intervals();
    assert_eq!(during.len(), 1);
    assert_eq!(during[0].to_ms, None);
    let lines = world.list_runs(owner).await;
    let waits = lines.iter().flat_map(|line| &line.waits);
    assert!(
        waits.clone().any(|wait| wait.contains("last read")),
        "{lines:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn work_that_waited_runs_once_after_the_evacuation_has_ended() {
    let mut world = World::with_owner().await;
    world.set_evacuated(true);
    world.submit(&run_id("run"), &job(6, 2_000, 2_000));
    world.advance(10_000).await;
    assert!(world.fleet.intervals().is_empty());

    world.set_evacuated(false);
    take_over(&mut world).await;
    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;

    let run = world.state().await.runs()[&run_id("run")].clone();
    assert_eq!((run.status, run.done), (RunStatus::Complete, 6));
    assert_eq!(world.fleet.intervals().len(), 6);
}
