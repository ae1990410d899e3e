//! Sequences of messages, restarts and takeovers after which a task must not run a second time.

use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::RunEnd;

use crate::fixture::CellHarness;
use crate::fixture::LEASE;
use crate::fixture::LISTED_ENDS_MAX;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::settings;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// Creates the ends of other jobs' runs, as many as fit into one report.
fn listed_ends() -> Vec<EndedRun> {
    (1..=LISTED_ENDS_MAX as u64)
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

// Guards against two runs of a task at once: a former owner without contact to the store sends a
// queued start, with a lease that the next owner doesn't wait for.
#[tokio::test]
async fn an_owner_that_may_not_renew_leases_sends_no_start_with_a_new_lease() {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    let executor = "i-1".into();
    let last_renewal = harness.cell.renewal(&executor, true).expect("a renewal");

    // The executor is in touch with this owner, but the owner has lost the store.
    for _ in 0..10 {
        harness.advance(Duration::from_secs(1));
        harness.cell.renewal(&executor, false).expect("a renewal");
        harness.report("i-1", vec![], vec![]);
        harness.cell.expire_leases(harness.now);
    }
    let start =
        harness
            .cell
            .start_order(&executor, task(1, 0, 0), RunNumber(1), false, harness.now);

    let lease_end_ms = start.map(|start| start.lease_end_ms);
    assert!(
        lease_end_ms <= last_renewal.lease_end_ms,
        "a start with a lease until {lease_end_ms:?} after {:?}",
        last_renewal.lease_end_ms
    );
}

// Guards against two runs of a task at once: on an executor that doesn't enforce fences, a former
// owner renews leases for a while after the next owner's last report.
#[tokio::test]
async fn without_fences_a_run_is_not_lost_before_all_former_leases_are_over() {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    harness.accept_starts("i-1");
    let settings = CellSettings {
        executors_enforce_fences: false,
        ..settings()
    };
    let mut next = harness.take_over_with(settings, &[(job(1), submitted)]);
    next.list_executor("i-1", 4_000);
    next.list_executor("i-2", 4_000);
    next.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);

    // The former owner may still renew the lease on i-1 for 12 s after the takeover.
    next.advance(LEASE + Duration::from_secs(1));
    next.cell.expire_leases(next.now);
    next.report("i-2", vec![], vec![]);
    next.commit();

    assert_eq!(next.take_orders("i-2"), []);
}

// Guards against two owners that act at once: on an executor that doesn't enforce fences, an owner that
// was replaced without knowing it stops the runs of its successor.
#[tokio::test]
async fn a_run_of_a_later_owner_is_not_stopped_by_a_replaced_one() {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut replaced = CellHarness::with_job(&submitted);
    replaced.commit();
    replaced.accept_starts("i-1");
    let (by_successor, run) = (task(1, 0, 0), RunNumber(2));
    let new_job = task(2, 0, 0);
    let listed = || vec![running(by_successor, 2), running(new_job, 1)];

    replaced.report("i-1", listed(), vec![]);
    let while_unconfirmed = [
        replaced.cell.stop_order(by_successor, run),
        replaced.cell.stop_order(new_job, RunNumber(1)),
    ];
    replaced.advance(Duration::from_millis(800));
    replaced.cell.confirm_ownership(replaced.now);
    let confirmed = replaced.cell.stop_order(new_job, RunNumber(1));

    assert!(while_unconfirmed.iter().all(Option::is_none));
    assert!(confirmed.is_some());
}
