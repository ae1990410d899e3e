use std::time::Duration;

use dotterelhook_jobs::cell::CellLoad;
use dotterelhook_jobs::cell::QueueOrder;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_types::sizes::CpuMilli;

use crate::fixture::CellHarness;
use crate::fixture::QUEUE;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;

#[tokio::test]
async fn the_load_of_a_cell_tells_what_waits_and_what_is_free() {
    let serving = StepSpec {
        is_long_running: true,
        ..step(3, 1_500, &[])
    };
    let filler = StepSpec {
        is_filler: true,
        ..step(1, 9_000, &[])
    };
    let mut harness = CellHarness::with_job(&submission(vec![serving]));
    harness
        .cell
        .accept(job(2), submission(vec![filler]), harness.now);
    harness.commit();

    let load = harness.cell.load(harness.now);

    let expected = CellLoad {
        open_jobs: 2,
        waiting_serving: 1,
        waiting_fillers: 1,
        waiting_others: 0,
        paused_fillers: 0,
        open_executors: 1,
        reserved_cpu: CpuMilli(3_000),
        free_cpu: CpuMilli(1_000),
        single_image_executors: 0,
        mixed_image_executors: 0,
        over_target_executors: 0,
        running_fillers: 0,
        overcommitted_executors: 0,
    };
    assert_eq!(load, expected);
}

#[tokio::test]
async fn the_order_of_a_full_queue_tells_what_its_tasks_can_still_reach() {
    let mut harness = CellHarness::with_job(&submission(vec![step(4, 1_000, &[])]));
    harness.commit();
    let late = submission(vec![step(3, 1_000, &[])]);
    harness.cell.accept(job(2), late, harness.now);
    harness.advance(Duration::from_millis(2_500));
    let fresh = submission(vec![step(5, 1_000, &[])]);
    harness.cell.accept(job(3), fresh, harness.now);

    let orders = harness.cell.queue_orders(harness.now);

    let QueueOrder {
        in_time,
        late,
        worthless,
        ..
    } = orders[QUEUE];
    assert_eq!((in_time, late, worthless), (5, 3, 0));
}
