use std::time::Duration;

use dotterelhook_jobs::model::StepSpec;

use crate::fixture::World;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The starts a second that the largest deployment asks for.
const STARTS_PER_S: usize = 2_200;
/// The rounds a second of an owner whose appends take some tens of milliseconds.
const ROUNDS_PER_S: usize = 10;

#[tokio::test]
async fn burst_of_starts_is_placed_as_fast_as_the_largest_deployment_asks() {
    let mut world = World::new();
    for number in 0..60 {
        let id = format!("i-{number}");
        world.list(&id, 4_000);
        world.report(&id, vec![], vec![]);
    }
    let count = (STARTS_PER_S / ROUNDS_PER_S) as u32;
    world
        .cell
        .accept(job(1), submission(vec![step(count, 1_000, &[])]), world.now);

    world.cell.place_waiting_tasks(world.now);

    let load = world.cell.load(world.now);
    assert_eq!(load.waiting_others, 0);
}

#[tokio::test]
async fn burst_of_quick_jobs_leaves_ample_room_to_a_lasting_task_that_has_waited() {
    let lasting = StepSpec {
        is_long_running: true,
        ..step(1, 5_000, &[])
    };
    let mut world = World::with_job(&submission(vec![lasting]));
    world.commit();
    world.pass(Duration::from_secs(4));
    world.list("i-2", 10_000);
    world.report("i-1", vec![], vec![]);
    world.report("i-2", vec![], vec![]);
    let quick = submission(vec![step(14, 1_000, &[])]);
    world.cell.accept(job(2), quick, world.now);

    world.commit();

    assert!(world.start_all("i-2").contains(&task(1, 0, 0)));
}
