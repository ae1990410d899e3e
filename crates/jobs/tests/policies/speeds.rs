use std::time::Duration;

use dotterelhook_jobs::fleet::RelativeSpeed;
use dotterelhook_jobs::policy::RunTimeRatio;
use dotterelhook_jobs::policy::StepRunTimes;
use tokio::time::Instant;

use crate::fixture::task;

/// The variance of run times within a step.
const VARIANCE: f64 = 0.05;

fn speed_after(slowdowns: &[f64], now: Instant) -> RelativeSpeed {
    let mut speed = RelativeSpeed::default();
    for slowdown in slowdowns {
        speed.record(*slowdown, VARIANCE, now);
    }
    speed
}

#[test]
fn executor_of_half_the_usual_speed_is_known_after_four_runs_and_tried_again_after_a_minute() {
    let now = Instant::now();
    let half = std::f64::consts::LN_2;

    let slow = speed_after(&[half; 4], now);

    assert!((0.45..0.7).contains(&slow.slowdown(now)));
    assert_eq!(slow.slowdown(now + Duration::from_secs(60)), 0.0);
}

/// Guards against a healthy executor that is avoided because it got one of the 3% of tasks that take
/// seven times as long.
#[test]
fn one_task_that_takes_seven_times_as_long_among_eight_makes_no_slow_executor() {
    let now = Instant::now();
    let slowdowns = [0.0, 0.1, -0.1, 0.0, 7.0_f64.ln(), 0.1, -0.1, 0.0];

    assert_eq!(speed_after(&slowdowns, now).slowdown(now), 0.0);
}

/// Guards against a preference for executors that were fast by chance.
#[test]
fn fast_and_unknown_executors_have_no_slowdown() {
    let now = Instant::now();

    assert_eq!(speed_after(&[-0.7; 20], now).slowdown(now), 0.0);
    assert_eq!(RelativeSpeed::default().slowdown(now), 0.0);
}

/// Guards against a wrong estimate that makes all executors of a step look slow, and against a slow
/// executor that hides among its own runs.
#[test]
fn estimate_too_low_by_half_makes_only_the_slow_executor_of_a_step_look_slow() {
    let mut run_times = StepRunTimes::default();
    let mut record = |index, executor: &str, measured_ms| {
        let sample = run_times.record(task(index), &executor.into(), measured_ms, 1_000, None);
        sample.map(|(slowdown, _)| slowdown)
    };

    let first = record(0, "i-1", 2_000.0);
    let same_speed = record(1, "i-2", 2_000.0).expect("a comparison");
    let slow = record(2, "i-3", 4_000.0).expect("a comparison");
    let slow_again = record(3, "i-3", 4_000.0).expect("a comparison");

    assert_eq!(first, None);
    assert!(same_speed.abs() < 1e-9, "{same_speed}");
    assert!((slow - 2.0_f64.ln()).abs() < 1e-9, "{slow}");
    assert!((slow_again - 2.0_f64.ln()).abs() < 1e-9, "{slow_again}");
}

#[test]
fn steps_of_a_job_that_has_ended_are_forgotten() {
    let mut run_times = StepRunTimes::default();
    run_times.record(task(0), &"i-1".into(), 2_000.0, 1_000, None);

    run_times.remove_job(task(0).job);

    let first_again = run_times.record(task(1), &"i-2".into(), 4_000.0, 1_000, None);
    assert_eq!(first_again, None);
}

/// Guards against exact estimates that are taken for unknown ones.
#[test]
fn first_run_of_a_step_is_compared_with_an_estimate_that_is_known_to_be_exact() {
    let mut run_times = StepRunTimes::default();
    let exact = Some(RunTimeRatio::default());

    let sample = run_times.record(task(0), &"i-1".into(), 2_000.0, 1_000, exact);

    let (slowdown, _) = sample.expect("a comparison");
    assert!((slowdown - 2.0_f64.ln()).abs() < 1e-9, "{slowdown}");
}
