//! Executors whose entries expire during an outage of the store.

use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;

use crate::fixture::CellHarness;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

fn harness_with_executor() -> CellHarness {
    let mut harness = CellHarness::new();
    harness.list_executor("i-1", 4_000);
    harness.report("i-1", vec![], vec![]);
    harness
}

fn submit(harness: &mut CellHarness, number: u64) {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    harness.cell.accept(job(number), submitted, harness.now);
}

fn start(number: u64) -> Order {
    Order::Start(task(number, 0, 0), RunNumber(1))
}

/// Guards against two seconds without any start after the store is back, because the entries of all
/// executors expired meanwhile.
#[tokio::test]
async fn store_back_after_an_outage_executors_that_answer_get_work_before_their_entries_are_back() {
    let mut harness = harness_with_executor();
    harness
        .cell
        .mark_executor_missing(&"i-1".into(), harness.now);
    submit(&mut harness, 1);

    harness.commit();

    assert_eq!(harness.take_orders("i-1"), [start(1)]);
}

#[tokio::test]
async fn an_executor_that_stays_missing_counts_as_gone_though_it_answers() {
    let mut harness = harness_with_executor();
    harness
        .cell
        .mark_executor_missing(&"i-1".into(), harness.now);
    harness.advance(Duration::from_millis(2_100));
    harness.report("i-1", vec![], vec![]);
    submit(&mut harness, 1);

    harness.commit();
    let while_gone = harness.take_orders("i-1");
    harness.list_executor("i-1", 4_000);
    harness.commit();

    assert_eq!(while_gone, []);
    assert_eq!(harness.take_orders("i-1"), [start(1)]);
}

#[tokio::test]
async fn an_executor_with_an_unreadable_entry_gets_no_work() {
    let mut harness = harness_with_executor();
    harness.cell.mark_executor_unreadable(&"i-1".into());
    submit(&mut harness, 1);

    harness.commit();

    assert_eq!(harness.take_orders("i-1"), []);
}

/// Guards against runs that are given up because their executor's entry is missing.
#[tokio::test]
async fn runs_on_a_missing_executor_work_on() {
    let mut harness = harness_with_executor();
    submit(&mut harness, 1);
    harness.commit();
    harness.accept_starts("i-1");
    harness
        .cell
        .mark_executor_missing(&"i-1".into(), harness.now);

    for _ in 0..10 {
        harness.advance(Duration::from_millis(500));
        harness.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);
        harness.cell.expire_leases(harness.now);
    }

    let executor = harness.cell.executor(&"i-1".into()).expect("known");
    assert_eq!(executor.runs().len(), 1);
}
