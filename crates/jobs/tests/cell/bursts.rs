use std::time::Duration;

use dotterelhook_jobs::model::StepSpec;

use crate::fixture::CellHarness;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The starts per second in the largest deployment.
const STARTS_PER_S: usize = 2_200;
/// The placement rounds per second of an owner whose appends take some tens of milliseconds.
const ROUNDS_PER_S: usize = 10;

#[tokio::test]
async fn burst_of_starts_is_placed_as_fast_as_the_largest_deployment_asks() {
    let mut harness = CellHarness::new();
    for number in 0..60 {
        let id = format!("i-{number}");
        harness.list_executor(&id, 4_000);
        harness.report(&id, vec![], vec![]);
    }
    let count = (STARTS_PER_S / ROUNDS_PER_S) as u32;
    harness.cell.accept(
        job(1),
        submission(vec![step(count, 1_000, &[])]),
        harness.now,
    );

    harness.cell.place_waiting_tasks(harness.now);

    let load = harness.cell.load(harness.now);
    assert_eq!(load.waiting_others, 0);
}

#[tokio::test]
async fn burst_of_quick_jobs_leaves_ample_room_to_a_lasting_task_that_has_waited() {
    let lasting = StepSpec {
        is_long_running: true,
        ..step(1, 5_000, &[])
    };
    let mut harness = CellHarness::with_job(&submission(vec![lasting]));
    harness.commit();
    harness.advance(Duration::from_secs(4));
    harness.list_executor("i-2", 10_000);
    harness.report("i-1", vec![], vec![]);
    harness.report("i-2", vec![], vec![]);
    let quick = submission(vec![step(14, 1_000, &[])]);
    harness.cell.accept(job(2), quick, harness.now);

    harness.commit();

    assert!(harness.accept_starts("i-2").contains(&task(1, 0, 0)));
}
