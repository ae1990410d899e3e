//! Tasks that crash the workers that start them.

use dotterelhook_state::shard::CRASHES_MAX;
use dotterelhook_state::shard::RunStatus;

use crate::world::WORKERS;
use crate::world::World;
use crate::world::job;
use crate::world::run_id;

/// Guards against a task that crashes one worker after the other without end, also across takeovers.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = World::with_owner().await;
    let run = run_id("deadly");
    world.submit(&run, &job(1, 60_000, 1_000));
    for number in 1..=CRASHES_MAX as usize {
        world
            .wait_until("a start", |state| !state.open_attempts().is_empty())
            .await;
        while world.fleet.intervals().len() < number {
            world.advance(50).await;
        }
        for worker in 0..WORKERS {
            world.fleet.restart(worker);
        }
        if number == 2 {
            let owner = world.owner().await.expect("an owner");
            world.kill(owner);
            world.start(owner);
        }
        world.advance(100).await;
    }

    world
        .wait_until("the end", |state| state.active_runs().is_empty())
        .await;
    world.advance(20_000).await;

    let state = world.state().await;
    assert_eq!(state.runs()[&run].status, RunStatus::Failed);
    assert_eq!(world.fleet.intervals().len(), CRASHES_MAX as usize);
}
