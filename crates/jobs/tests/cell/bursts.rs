use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::RunEnd;

use crate::fixture::CellHarness;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
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

/// Guards against lasting tasks that wait beside free processors for longer than the platform's rules
/// allow, because a burst before was large (LOST on amakusa-tmpl, with a reserve for short work).
#[tokio::test]
async fn burst_that_is_over_leaves_no_processors_idle_beside_a_waiting_lasting_task() {
    const EXECUTORS: [&str; 2] = ["i-1", "i-2"];
    const ROUND: Duration = Duration::from_millis(500);
    const WAIT_MAX: Duration = Duration::from_secs(6);
    let mut harness = CellHarness::with_job(&submission(vec![step(40, 1_000, &[])]));
    harness.list_executor("i-2", 4_000);
    let mut started: BTreeMap<&str, Vec<TaskId>> = BTreeMap::new();
    for _ in 0..16 {
        for id in EXECUTORS {
            let runs = started.entry(id).or_default();
            harness.report(
                id,
                runs.iter().map(|task| running(*task, 1)).collect(),
                vec![],
            );
        }
        harness.commit();
        for id in EXECUTORS {
            let runs = started.entry(id).or_default();
            runs.extend(harness.accept_starts(id));
        }
        harness.advance(ROUND);
    }
    let lasting = StepSpec {
        is_long_running: true,
        ..step(1, 3_000, &[])
    };
    harness
        .cell
        .accept(job(2), submission(vec![lasting]), harness.now);

    harness.cell.cancel(job(1), harness.now);
    for id in EXECUTORS {
        let stopped = started[id].iter().zip(1..);
        let ends = stopped.map(|(task, number)| ended(number, *task, 1, RunEnd::Stopped));
        harness.report(id, vec![], ends.collect());
    }
    let is_over_at = harness.now;
    let mut placed = Vec::new();
    while placed.is_empty() && harness.now < is_over_at + WAIT_MAX {
        for id in EXECUTORS {
            harness.report(id, vec![], vec![]);
        }
        harness.commit();
        placed.extend(EXECUTORS.iter().flat_map(|id| harness.accept_starts(id)));
        harness.advance(ROUND);
    }

    assert_eq!(placed, [task(2, 0, 0)]);
}
