//! Tasks that crash the executors that start them.

use std::time::Duration;

use dotterelhook_jobs::model::JobState;

use crate::crash_world::CrashWorld;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The starts after which a task that crashes its executors must not start again: three more than two are
/// counted once three executors have crashed under it.
const STARTS_MAX: u32 = 5;
/// The limit for a job with such a task: so many crashes, each with an expired lease and a round of placement.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(5 * 8);

/// Guards against a task that crashes one executor after the other without end: runs that were lost with
/// their executors counted for nothing.
#[tokio::test]
async fn a_task_that_crashes_its_executors_is_given_up() {
    let mut world = CrashWorld::new(12);
    let deadly = task(1, 0, 0);
    world.submit_deadly(1, submission(vec![step(3, 1_000, &[])]), deadly);

    world.run(GIVEN_UP_WITHIN);

    assert!(world.starts_of(deadly) <= STARTS_MAX, "{:?}", world.starts);
    assert_eq!(world.state(1), Some(JobState::Failed));
}
