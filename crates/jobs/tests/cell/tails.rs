use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::RunningRun;

use crate::fixture::World;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The tail that the serving task must keep, in milliseconds.
const TARGET_MS: u64 = 100;
/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time over a target beside working fillers that the platform bears.
const HARM_MAX: Duration = Duration::from_secs(4);

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

/// A cell with one executor on which a task serves; its job is the first.
fn serving_world() -> World {
    let mut world = World::with_job(&submission(vec![serving()]));
    world.commit();
    world.start_all("i-1");
    world
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
    let mut world = serving_world();
    world
        .cell
        .accept(job(2), submission(vec![filler()]), world.now);
    let mut starts = Vec::new();

    for tail_ms in [110.0, 97.0, 60.0] {
        world.report("i-1", vec![serving_with(tail_ms)], vec![]);
        world.commit();
        starts.push(world.start_all("i-1"));
        world.pass(REPORT_INTERVAL);
    }

    assert_eq!(starts, [vec![], vec![], vec![task(2, 0, 0)]]);
}

#[tokio::test]
async fn interference_a_rough_figure_below_the_target_does_not_let_fillers_work_on() {
    let mut world = serving_world();
    world.report("i-1", vec![serving_with(60.0)], vec![]);
    world
        .cell
        .accept(job(2), submission(vec![filler()]), world.now);
    world.commit();
    world.start_all("i-1");
    let began = world.now;
    let mut stopped_after = None;

    for tail_ms in [110.0, 97.0, 110.0, 97.0, 110.0, 97.0, 110.0] {
        world.pass(REPORT_INTERVAL);
        let filling = running(task(2, 0, 0), 1);
        world.report("i-1", vec![serving_with(tail_ms), filling], vec![]);
        let is_stopped = world
            .sent("i-1")
            .iter()
            .any(|order| matches!(order, Order::Pace(_, _, 0) | Order::Stop(..)));
        if is_stopped {
            stopped_after.get_or_insert(world.now - began);
        }
    }

    let stopped_after = stopped_after.expect("the filler stops working");
    assert!(stopped_after < HARM_MAX, "{stopped_after:?}");
}
