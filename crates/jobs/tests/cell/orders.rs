//! The order in which an executor that answers late gets its orders.

use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::fleet::OrderQueue;
use dotterelhook_jobs::model::RunNumber;

use crate::fixture::CellHarness;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

const RUN: RunNumber = RunNumber(1);

fn drain(queue: &mut OrderQueue) -> Vec<Order> {
    std::iter::from_fn(|| queue.pop_stop().or_else(|| queue.pop_other())).collect()
}

/// Guards against cancelled tasks that work on while the executor leaves starts unanswered.
#[test]
fn a_stop_behind_a_burst_of_starts_without_answers_goes_first() {
    let mut queue = OrderQueue::default();
    for index in 0..20 {
        queue.push(Order::Start(task(1, 0, index), RUN));
    }
    queue.push(Order::Pace(task(2, 0, 0), RUN, 30));
    queue.push(Order::Stop(task(3, 0, 0), RUN));

    let orders = drain(&mut queue);

    assert_eq!(
        orders[..3],
        [
            Order::Stop(task(3, 0, 0), RUN),
            Order::Pace(task(2, 0, 0), RUN, 30),
            Order::Start(task(1, 0, 0), RUN),
        ]
    );
    assert_eq!(orders.len(), 22);
}

/// Guards against paces of an earlier load that arrive after those of the present one.
#[test]
fn a_swing_of_the_load_leaves_one_pace_a_run_and_none_of_a_run_that_stops() {
    let (first, second) = (task(1, 0, 0), task(1, 0, 1));
    let mut queue = OrderQueue::default();
    for percent in [30, 0, 60] {
        queue.push(Order::Pace(first, RUN, percent));
        queue.push(Order::Pace(second, RUN, percent));
    }
    queue.push(Order::Stop(second, RUN));
    queue.push(Order::Stop(second, RUN));

    let orders = drain(&mut queue);

    assert_eq!(
        orders,
        [Order::Stop(second, RUN), Order::Pace(first, RUN, 60)]
    );
}

/// Guards against a run that stays ordered for good: its start was lost with the session that was to
/// send it.
#[tokio::test]
async fn starts_of_a_session_that_ended_are_stopped_and_placed_again() {
    let mut harness = CellHarness::with_job(&submission(vec![step(1, 1_000, &[])]));
    harness.commit();
    let (id, address) = ("i-1".into(), ([127, 0, 0, 1], 9_000).into());

    let reopened = harness.cell.reopen_orders(&id, address, harness.now);
    harness
        .orders
        .insert(id, reopened.expect("the same address"));
    let first = harness.take_orders("i-1");
    harness
        .cell
        .handle_stop_result(&"i-1".into(), task(1, 0, 0), RUN, Ok(()), harness.now);
    harness.advance(Duration::from_millis(300));
    harness.report("i-1", vec![], vec![]);
    harness.commit();

    assert_eq!(first, [Order::Stop(task(1, 0, 0), RUN)]);
    assert_eq!(
        harness.take_orders("i-1"),
        [Order::Start(task(1, 0, 0), RunNumber(2))]
    );
}
