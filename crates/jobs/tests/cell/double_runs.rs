//! Sequences of messages, restarts and takeovers after which a task must not run a second time.

use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::RunEnd;

use crate::fixture::CellHarness;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The number of ended runs that an executor lists in one report at most.
const LISTED_ENDS_MAX: u64 = 500;

/// Creates the ends of other jobs' runs, as many as fit into one report.
fn listed_ends() -> Vec<EndedRun> {
    (1..=LISTED_ENDS_MAX)
        .map(|number| ended(number, task(1_000 + number, 0, 0), 1, RunEnd::Done))
        .collect()
}

// Guards against a second run of a task that has ended, while its end is beyond the ends that the
// executor lists in one report, and a new owner looks for the run.
#[tokio::test]
async fn a_restored_run_whose_end_is_not_listed_yet_is_not_started_again() {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    let mut next = harness.take_over(&[(job(1), submitted)]);
    next.list_executor("i-1", 4_000);

    next.report("i-1", vec![], listed_ends());
    next.commit();

    let orders = next.take_orders("i-1");
    assert!(
        !orders.contains(&Order::Start(task(1, 0, 0), RunNumber(2))),
        "{orders:?}"
    );
}

// Guards against a second run of a task that has ended, while its end is beyond the ends that the
// executor lists in one report, and its owner no longer finds the run among the running ones.
#[tokio::test]
async fn a_run_whose_end_is_not_listed_yet_is_not_started_again() {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    harness.accept_starts("i-1");

    // The store accepts no records, so no end is acknowledged.
    for _ in 0..8 {
        harness.advance(Duration::from_millis(300));
        harness.report("i-1", vec![], listed_ends());
        for order in harness.take_orders("i-1") {
            if let Order::Stop(task, run) = order {
                harness
                    .cell
                    .handle_stop_result(&"i-1".into(), task, run, Ok(()), harness.now);
            }
        }
    }
    harness.commit();

    let orders = harness.take_orders("i-1");
    assert!(
        !orders.contains(&Order::Start(task(1, 0, 0), RunNumber(2))),
        "{orders:?}"
    );
}
