use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::RunningRun;

use crate::fixture::CellHarness;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The tail latency objective of the serving task, in milliseconds.
const TARGET_MS: u64 = 100;
/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time beside active fillers for which the platform tolerates a tail over its target.
const OVER_TARGET_MAX: Duration = Duration::from_secs(4);

fn serving() -> StepSpec {
    StepSpec {
        is_long_running: true,
        image: Some("web".into()),
        tail_target_ms: Some(TARGET_MS),
        ..step(1, 1_000, &[])
    }
}

fn filler() -> StepSpec {
    StepSpec {
        is_filler: true,
        image: Some("nesting".into()),
        estimate_ms: 60_000,
        ..step(1, 500, &[])
    }
}

/// A cell with one executor that runs the serving task of job 1.
fn serving_harness() -> CellHarness {
    let mut harness = CellHarness::with_job(&submission(vec![serving()]));
    harness.commit();
    harness.accept_starts("i-1");
    harness
}

/// The same cell with the filler of job 2 beside the serving task.
fn filler_harness() -> CellHarness {
    let mut harness = serving_harness();
    harness.report("i-1", vec![serving_with(60.0)], vec![]);
    harness
        .cell
        .accept(job(2), submission(vec![filler()]), harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    harness
}

fn serving_with(tail_ms: f64) -> RunningRun {
    RunningRun {
        progress_percent: 100.0,
        recent_measurement: Some(tail_ms),
        ..running(task(1, 0, 0), 1)
    }
}

#[tokio::test]
async fn interference_no_filler_goes_where_a_tail_was_over_until_it_is_well_below() {
    let mut harness = serving_harness();
    harness
        .cell
        .accept(job(2), submission(vec![filler()]), harness.now);
    let mut starts = Vec::new();

    for tail_ms in [110.0, 97.0, 60.0] {
        harness.report("i-1", vec![serving_with(tail_ms)], vec![]);
        harness.commit();
        starts.push(harness.accept_starts("i-1"));
        harness.advance(REPORT_INTERVAL);
    }

    assert_eq!(starts, [vec![], vec![], vec![task(2, 0, 0)]]);
}

#[tokio::test]
async fn interference_a_rough_figure_below_the_target_does_not_let_fillers_work_on() {
    let mut harness = filler_harness();
    let began = harness.now;
    let mut stopped_after = None;

    for tail_ms in [110.0, 97.0, 110.0, 97.0, 110.0, 97.0, 110.0] {
        harness.advance(REPORT_INTERVAL);
        let filling = running(task(2, 0, 0), 1);
        harness.report("i-1", vec![serving_with(tail_ms), filling], vec![]);
        let is_stopped = harness
            .take_orders("i-1")
            .iter()
            .any(|order| matches!(order, Order::Pace(_, _, 0) | Order::Stop(..)));
        if is_stopped {
            stopped_after.get_or_insert(harness.now - began);
        }
    }

    let stopped_after = stopped_after.expect("the filler stops working");
    assert!(stopped_after < OVER_TARGET_MAX, "{stopped_after:?}");
}

/// Guards against a filler that is moved for a pause that may never have begun, because the order to
/// pause it got no answer.
#[tokio::test]
async fn interference_a_pause_without_an_answer_does_not_count() {
    let mut harness = filler_harness();
    let executor = "i-1".into();
    let mut paused_for = Vec::new();

    for _ in 0..8 {
        harness.advance(REPORT_INTERVAL);
        let filling = running(task(2, 0, 0), 1);
        harness.report("i-1", vec![serving_with(300.0), filling], vec![]);
        for order in harness.take_orders("i-1") {
            if let Order::Pace(task, run, 0) = order {
                harness.cell.handle_pace_failure(&executor, task, run, 0);
            }
        }
        let view = harness
            .cell
            .executor(&executor)
            .and_then(|found| found.run(task(2, 0, 0)));
        paused_for.extend(view.map(|view| view.paused_for(harness.now)));
    }

    assert!(paused_for.iter().all(Duration::is_zero), "{paused_for:?}");
}
