use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::ledger::Job;
use dotterelhook_jobs::ledger::JobProgress;
use dotterelhook_jobs::ledger::StepRef;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::policy::LeastSlackFirst;
use dotterelhook_jobs::policy::QueuePolicy;
use dotterelhook_jobs::policy::Rank;
use dotterelhook_jobs::policy::RankContext;
use dotterelhook_jobs::policy::RunTimeRatio;
use tokio::time::Instant;

use crate::fixture::queue_config;
use crate::fixture::serving;
use crate::fixture::step;

fn rank(steps: Vec<StepSpec>, age: Duration, priority: u32) -> Rank {
    rank_with(steps, age, priority, RunTimeRatio::default())
}

fn rank_with(steps: Vec<StepSpec>, age: Duration, priority: u32, run_time: RunTimeRatio) -> Rank {
    rank_job(steps, age, priority, run_time, false)
}

fn rank_job(
    steps: Vec<StepSpec>,
    age: Duration,
    priority: u32,
    run_time: RunTimeRatio,
    has_begun: bool,
) -> Rank {
    let now = Instant::now() + Duration::from_secs(1_000);
    let spec = JobSpec {
        payload: "work".into(),
        steps,
        schedule: None,
    };
    let submission = Submission {
        queue: queue_config(priority),
        spec,
        accepted_unix_ms: 0,
        entry_domain: None,
    };
    let id = "0123456789abcdef".parse().expect("an id");
    let mut job = Job::new(id, Arc::new(submission), JobProgress::default(), now - age);
    if has_begun {
        job.mark_started();
    }
    let step_ref = StepRef {
        occurrence: 0,
        step: 0,
    };
    let context = RankContext {
        queue: &queue_config(priority),
        run_time,
        now,
    };
    LeastSlackFirst.rank(&job, step_ref, &context)
}

/// Guards against fresh serving jobs that delay quick jobs, and against serving jobs that wait past
/// their target.
#[test]
fn burst_of_serving_jobs_waits_behind_quick_ones_until_its_target_is_near() {
    let quick = rank(vec![step(100)], Duration::from_millis(300), 0);
    let fresh = rank(vec![serving("s")], Duration::ZERO, 0);
    let waiting = rank(vec![serving("s")], Duration::from_millis(900), 0);

    assert!(quick < fresh);
    assert!(waiting < quick);
}

/// Guards against late serving jobs that starve in a full cell, or overtake jobs that are in time.
#[test]
fn full_cell_late_serving_jobs_wait_for_quick_ones_in_time_and_go_before_late_ones() {
    let quick = rank(vec![step(100)], Duration::from_millis(300), 0);
    let late_quick = rank(vec![step(100)], Duration::from_millis(1_500), 0);
    let late_serving = rank(vec![serving("s")], Duration::from_secs(5), 0);

    assert!(quick < late_serving);
    assert!(late_serving < late_quick);
}

/// Guards against late jobs that make further jobs late during a burst.
#[test]
fn burst_serves_what_can_be_in_time_before_what_cannot() {
    let fresh = rank(vec![step(1_000)], Duration::from_millis(100), 2);
    let urgent = rank(vec![step(1_000)], Duration::from_millis(1_900), 2);
    let late = rank(vec![step(1_000)], Duration::from_millis(4_000), 2);
    let hopeless = rank(vec![step(1_000)], Duration::from_secs(60), 0);

    assert!(urgent < fresh, "less slack goes first");
    assert!(
        fresh < late,
        "late jobs wait for jobs that can still be in time"
    );
    assert!(
        late < hopeless,
        "priority does not help a job that is too late to be of value"
    );
}

#[test]
fn burst_keeps_the_order_of_priorities_among_what_can_be_in_time() {
    let first = rank(vec![step(1_000)], Duration::from_millis(100), 0);
    let second = rank(vec![step(1_000)], Duration::from_millis(1_900), 2);

    assert!(first < second);
}

/// Guards against a slack that ignores the steps still to come.
#[test]
fn wide_step_counts_its_remaining_chain() {
    let chain = vec![
        step(1_000),
        StepSpec {
            after: vec![0],
            ..step(3_000)
        },
    ];
    let short = rank(vec![step(1_000)], Duration::from_millis(500), 2);
    let long = rank(chain, Duration::from_millis(500), 2);

    assert_eq!(short.slack_ms, 2_000 + 1_000 - 500 - 1_000);
    assert_eq!(long.slack_ms, 8_000 + 1_000 - 500 - 4_000);
}

/// Guards against jobs that keep their place among those in time although, by the run times of their
/// queue, they can't end in time any more.
#[test]
fn estimates_too_low_by_half_count_with_the_learned_run_times() {
    let twice = RunTimeRatio {
        typical: 2.0,
        spread: 1.2,
    };
    let quarter = RunTimeRatio {
        typical: 0.25,
        spread: 1.2,
    };
    let age = Duration::from_millis(1_900);
    let estimated = rank(vec![step(1_000)], age, 2);
    let longer = rank_with(vec![step(1_000)], age, 2, twice);
    let shorter = rank_with(vec![step(1_000)], age, 2, quarter);

    assert_eq!(estimated.slack_ms, 2_000 + 1_000 - 1_900 - 1_000);
    assert_eq!(longer.slack_ms, 4_000 + 1_000 - 1_900 - 2_000);
    assert_eq!(
        (shorter.class, shorter.slack_ms),
        (1, 500 + 1_000 - 1_900 - 250)
    );
}

/// Guards against the loss of what a job has received when its remaining tasks fall behind all others
/// by the error of an estimate.
#[test]
fn estimates_off_by_half_leave_a_job_that_has_begun_in_its_class_while_it_may_be_in_time() {
    let spread = RunTimeRatio {
        typical: 1.0,
        spread: 2.0,
    };
    let rank = |age_ms, has_begun| {
        let age = Duration::from_millis(age_ms);
        rank_job(vec![step(1_000)], age, 0, spread, has_begun)
    };

    let fresh = rank(2_200, false);
    let begun = rank(2_200, true);
    let late = rank(2_600, true);

    assert_eq!([fresh, begun, late].map(|rank| rank.class), [1, 0, 1]);
    assert_eq!(begun.slack_ms, fresh.slack_ms);
}
