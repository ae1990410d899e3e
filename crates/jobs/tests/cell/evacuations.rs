use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::RunEnd;

use crate::fixture::CellHarness;
use crate::fixture::LEASE;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The evacuated failure domain, of executor `i-1`.
const EVACUATED: &str = "laguna";

/// Creates a cell with one executor in each of two failure domains, where `i-1` suits a task best.
fn two_domains(submitted: &Arc<Submission>) -> CellHarness {
    let mut harness = CellHarness::new();
    harness.list_executor_in(EVACUATED, "i-1", 2_000);
    harness.list_executor_in("quezon", "i-2", 4_000);
    harness.report("i-1", vec![], vec![]);
    harness.report("i-2", vec![], vec![]);
    harness
        .cell
        .accept(job(1), Arc::clone(submitted), harness.now);
    harness
}

fn one_task() -> Arc<Submission> {
    submission(vec![step(1, 1_000, &[])])
}

fn has_start(orders: &[Order]) -> bool {
    orders.iter().any(|order| matches!(order, Order::Start(..)))
}

#[test]
fn nothing_is_placed_in_an_evacuated_failure_domain_until_the_evacuation_ends() {
    let mut harness = two_domains(&submission(vec![step(6, 1_000, &[])]));

    harness.evacuate(&[EVACUATED], None);
    harness.commit();
    let during = [harness.accept_starts("i-1"), harness.accept_starts("i-2")];
    harness.evacuate(&[], None);
    harness.commit();
    let after = harness.accept_starts("i-1");

    assert_eq!(during.map(|tasks| tasks.len()), [0, 4]);
    assert_eq!(after.len(), 2);
}

#[test]
fn nothing_starts_while_all_failure_domains_are_evacuated() {
    let mut harness = two_domains(&one_task());

    harness.evacuate(&[EVACUATED, "quezon"], None);
    harness.commit();

    assert!(!has_start(&harness.take_orders("i-1")));
    assert!(!has_start(&harness.take_orders("i-2")));
}

/// Guards against a start whose record was being stored when the request was seen.
#[test]
fn a_run_that_is_not_stored_yet_is_taken_back() {
    let mut harness = two_domains(&one_task());
    let batch = harness.store_next_batch();

    harness.evacuate(&[EVACUATED], None);
    harness.cell.handle_batch_stored(batch, harness.now);
    harness.commit();

    assert!(!has_start(&harness.take_orders("i-1")));
    assert_eq!(harness.accept_starts("i-2"), [task(1, 0, 0)]);
}

/// Guards against a start that waits in the session, and against one that was sent before and is sent
/// again. An executor may carry out a start late, so it gets a stop at once.
#[test]
fn a_start_without_an_answer_is_not_sent_again_and_is_stopped() {
    let mut harness = two_domains(&one_task());
    harness.commit();
    let (id, run) = ("i-1".into(), RunNumber(1));
    let now = harness.now;
    let sent = harness.cell.start_order(&id, task(1, 0, 0), run, true, now);
    harness.take_orders("i-1");

    harness.evacuate(&[EVACUATED], None);
    let resent = harness.cell.start_order(&id, task(1, 0, 0), run, true, now);

    assert!(sent.is_some() && resent.is_none());
    let orders = harness.take_orders("i-1");
    assert_eq!(orders, [Order::Stop(task(1, 0, 0), run)]);
}

/// Guards against TWICE: the response to a start is lost when the evacuation arrives, and the run does
/// start.
#[test]
fn a_task_with_a_lost_start_is_placed_elsewhere_once_it_certainly_ended() {
    let mut harness = two_domains(&one_task());
    harness.commit();
    let (id, run) = ("i-1".into(), RunNumber(1));
    let (lost, now) = (OrderError::Unknown("no answer".into()), harness.now);

    harness.evacuate(&[EVACUATED], None);
    harness
        .cell
        .handle_start_result(&id, task(1, 0, 0), run, Err(lost), now);
    harness.commit();
    let before = harness.accept_starts("i-2");
    harness
        .cell
        .handle_stop_result(&id, task(1, 0, 0), run, Ok(()), harness.now);
    let stopped = ended(1, task(1, 0, 0), 1, RunEnd::Stopped);
    harness.report("i-1", vec![], vec![stopped]);
    harness.commit();

    assert!(before.is_empty());
    assert_eq!(harness.accept_starts("i-2"), [task(1, 0, 0)]);
}

/// Guards against a gang that waits for a member which must not start.
#[test]
fn a_gang_with_a_held_back_member_is_stopped_as_a_whole() {
    let gang = StepSpec {
        is_gang: true,
        ..step(2, 2_000, &[])
    };
    let mut harness = CellHarness::new();
    harness.list_executor_in(EVACUATED, "i-1", 2_000);
    harness.list_executor_in("quezon", "i-2", 2_000);
    harness.report("i-1", vec![], vec![]);
    harness.report("i-2", vec![], vec![]);
    harness
        .cell
        .accept(job(1), submission(vec![gang]), harness.now);
    harness.commit();
    let member = harness.accept_starts("i-2");
    harness.take_orders("i-1");

    harness.evacuate(&[EVACUATED], None);

    assert_eq!(member.len(), 1);
    for id in ["i-1", "i-2"] {
        let orders = harness.take_orders(id);
        assert!(matches!(orders[..], [Order::Stop(..)]), "{id}: {orders:?}");
    }
}

/// Guards against a start on an outdated view: nothing is placed or sent, and a start that is carried
/// out late reaches the executor after its lease end.
#[test]
fn a_view_that_expires_ends_all_starts() {
    let valid_for = Duration::from_millis(2_500);
    let mut harness = two_domains(&submission(vec![step(2, 2_000, &[])]));
    harness.evacuate(&[], Some(valid_for));
    harness.commit();
    let (id, run) = ("i-1".into(), RunNumber(1));
    let start_order = |harness: &mut CellHarness| {
        let now = harness.now;
        harness.cell.start_order(&id, task(1, 0, 0), run, true, now)
    };

    let sent = start_order(&mut harness).expect("a start");
    let clock_ms = sent
        .lease_end_ms
        .saturating_sub(valid_for.as_millis() as u64);
    harness.advance(valid_for);
    let resent = start_order(&mut harness);
    harness.cell.accept(job(2), one_task(), harness.now);
    harness.report("i-2", vec![], vec![]);
    harness.commit();

    assert!(resent.is_none());
    assert!(sent.lease_end_ms < clock_ms + LEASE.as_millis() as u64);
    assert!(
        !harness
            .cell
            .ledger()
            .job(job(2))
            .expect("a job")
            .has_placed_tasks()
    );
}

/// Guards against a new owner that starts work before it knows of the request.
#[test]
fn a_new_owner_starts_nothing_before_it_has_a_view() {
    let submitted = one_task();
    let mut harness = two_domains(&submitted).take_over(&[(job(1), submitted)]);
    harness.list_executor_in(EVACUATED, "i-1", 2_000);
    harness.report("i-1", vec![], vec![]);

    harness.evacuate(&[], Some(Duration::ZERO));
    harness.commit();
    let without_view = harness.take_orders("i-1");
    harness.evacuate(&[EVACUATED], Some(Duration::from_millis(2_500)));
    harness.commit();
    let with_request = harness.take_orders("i-1");

    assert!(!has_start(&without_view));
    assert!(!has_start(&with_request));
}
