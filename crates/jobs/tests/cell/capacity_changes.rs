//! Executors whose capacity shrinks and grows while they run tasks.

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_types::sizes::Resources;

use crate::fixture::CellHarness;
use crate::fixture::executor_entry;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::settings;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

const FULL_CPU_MILLI: u64 = 4_000;
const SHRUNK_CPU_MILLI: u64 = 1_500;

fn set_capacity(harness: &mut CellHarness, id: &str, cpu_milli: u64) {
    harness.upsert_executor(executor_entry(id, cpu_milli));
}

/// Returns the started tasks of all orders to an executor, as its session sends them.
fn send_starts(harness: &mut CellHarness, id: &str) -> Vec<TaskId> {
    let executor = ExecutorId::from(id);
    let now = harness.now;
    let mut started = Vec::new();
    for order in harness.take_orders(id) {
        if let Order::Start(task, run) = order {
            let cell = &mut harness.cell;
            if cell.start_order(&executor, task, run, true, now).is_some() {
                cell.handle_start_result(&executor, task, run, Ok(()), now);
                started.push(task);
            } else {
                cell.abandon_start(&executor, task, run, false, now);
            }
        }
    }
    started
}

/// Answers all stops to an executor, and lets it report without any run.
fn answer_stops(harness: &mut CellHarness, id: &str) {
    let executor = ExecutorId::from(id);
    for order in harness.take_orders(id) {
        if let Order::Stop(task, run) = order {
            let now = harness.now;
            let cell = &mut harness.cell;
            cell.handle_stop_result(&executor, task, run, Ok(()), now);
        }
    }
    harness.advance(settings().stop_max * 2);
    harness.report(id, vec![], vec![]);
}

/// Returns the processors that the runs on an executor have reserved, in thousandths of a core.
fn used_milli(harness: &CellHarness, id: &str) -> u64 {
    let executor = harness.cell.executor(&id.into());
    executor.expect("a listed executor").used().cpu_milli.0
}

/// Guards against starts that bring an executor over its capacity, because it has shrunk since they were
/// placed.
#[tokio::test]
async fn starts_that_no_longer_fit_are_not_sent() {
    let mut harness = CellHarness::with_job(&submission(vec![step(4, 1_000, &[])]));
    harness.commit();

    set_capacity(&mut harness, "i-1", SHRUNK_CPU_MILLI);
    let started = send_starts(&mut harness, "i-1");

    assert_eq!(started.len(), 1);
    assert_eq!(used_milli(&harness, "i-1"), 1_000);
}

/// Guards against a gang of which only some members are sent to an executor that has shrunk.
#[tokio::test]
async fn a_gang_that_no_longer_fits_is_placed_anew() {
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 1_000, &[])
    };
    let mut harness = CellHarness::with_job(&submission(vec![gang]));
    harness.commit();

    set_capacity(&mut harness, "i-1", SHRUNK_CPU_MILLI);
    let started = send_starts(&mut harness, "i-1");
    answer_stops(&mut harness, "i-1");
    harness.commit();

    assert!(started.is_empty(), "{started:?}");
    assert_eq!(used_milli(&harness, "i-1"), 0);
    set_capacity(&mut harness, "i-1", FULL_CPU_MILLI);
    harness.commit();
    assert_eq!(send_starts(&mut harness, "i-1").len(), 3);
}

/// Guards against new runs beside work that exceeds a shrunk capacity, and against room that stays unused
/// once the capacity has grown again.
#[tokio::test]
async fn nothing_starts_until_the_capacity_has_room_again() {
    let serving = StepSpec {
        is_long_running: true,
        ..step(3, 1_000, &[])
    };
    let mut harness = CellHarness::with_job(&submission(vec![serving]));
    harness.commit();
    let mut started = send_starts(&mut harness, "i-1");
    started.sort();
    let runs = started.iter().map(|task| running(*task, 1)).collect();
    harness.report("i-1", runs, vec![]);
    set_capacity(&mut harness, "i-1", SHRUNK_CPU_MILLI);
    let now = harness.now;
    harness
        .cell
        .accept(job(2), submission(vec![step(1, 500, &[])]), now);
    harness.commit();

    let while_shrunk = send_starts(&mut harness, "i-1");
    set_capacity(&mut harness, "i-1", FULL_CPU_MILLI);
    harness.commit();
    let after_growth = send_starts(&mut harness, "i-1");

    assert!(while_shrunk.is_empty(), "{while_shrunk:?}");
    assert_eq!(after_growth, [task(2, 0, 0)]);
    assert_eq!(used_milli(&harness, "i-1"), 3_500);
}

/// Guards against room that a new owner believes to be free because a former one knew of it.
#[tokio::test]
async fn a_new_owner_places_by_the_listed_capacity() {
    let submitted = submission(vec![step(4, 1_000, &[])]);
    let mut harness = CellHarness::with_job(&submitted);
    harness.commit();
    send_starts(&mut harness, "i-1");

    let mut next = harness.take_over(&[(job(1), submitted)]);
    set_capacity(&mut next, "i-1", SHRUNK_CPU_MILLI);
    next.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);
    let other = submission(vec![step(1, 1_000, &[])]);
    next.cell.accept(job(2), other, next.now);
    next.commit();

    assert!(send_starts(&mut next, "i-1").is_empty());
}

/// Guards against admission by a capacity that the pool no longer has.
#[tokio::test]
async fn the_capacity_report_follows_the_listed_capacity() {
    let mut harness = CellHarness::new();
    harness.list_executor("i-1", FULL_CPU_MILLI);
    harness.report("i-1", vec![], vec![]);
    let most_free = |harness: &CellHarness| {
        let report = harness.cell.capacity_report(None, harness.now);
        report.pools[0].most_free
    };
    let memory_mb = executor_entry("i-1", 0).capacity.memory_mb.0;

    set_capacity(&mut harness, "i-1", SHRUNK_CPU_MILLI);
    let shrunk = most_free(&harness);
    set_capacity(&mut harness, "i-1", FULL_CPU_MILLI);
    let grown = most_free(&harness);

    assert_eq!(shrunk, Resources::new(SHRUNK_CPU_MILLI, memory_mb));
    assert_eq!(grown, Resources::new(FULL_CPU_MILLI, memory_mb));
}

/// Guards against a resend of a start without an answer after its executor has shrunk: the run may have
/// begun, so it is stopped before its task starts elsewhere.
#[tokio::test]
async fn a_start_that_may_have_begun_is_stopped_once_it_no_longer_fits() {
    let mut harness = CellHarness::with_job(&submission(vec![step(2, 1_000, &[])]));
    harness.commit();
    let (id, first, run) = ("i-1".into(), task(1, 0, 0), RunNumber(1));
    let now = harness.now;
    let sent = harness.cell.start_order(&id, first, run, true, now);
    assert!(sent.is_some());
    harness.take_orders("i-1");

    set_capacity(&mut harness, "i-1", SHRUNK_CPU_MILLI);
    let resent = harness.cell.start_order(&id, first, run, true, now);
    harness.cell.abandon_start(&id, first, run, true, now);

    assert!(resent.is_none());
    assert_eq!(harness.take_orders("i-1"), [Order::Stop(first, run)]);
}
