use std::time::Duration;

use dotterelhook_jobs::admission::CapacityReport;
use dotterelhook_jobs::admission::PoolCapacity;
use dotterelhook_jobs::admission::QueueBacklog;
use dotterelhook_jobs::admission::REPORT_AGE_MAX;
use dotterelhook_jobs::entry::CapacityView;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;

/// Three times the objective of the quick jobs: a stretch of 1.5 on 800 ms, and 300 ms.
const LIMIT_MS: u64 = 3 * (1_200 + 300);

fn queue() -> QueueConfig {
    QueueConfig {
        name: "quick".into(),
        service: "desk".into(),
        priority: 0,
        attempts_max: 3,
        stretch: 1.5,
        target_latency_ms: 300,
        advice: None,
    }
}

fn quick_job() -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps: vec![StepSpec {
            count: 10,
            need: Resources::new(8_000, 1_000),
            estimate_ms: 800,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

fn report(in_time_ms: u64, all_ms: u64) -> CapacityReport {
    CapacityReport {
        backlogs: vec![QueueBacklog {
            queue: "quick".into(),
            in_time_ms,
            all_ms,
            typical_ratio: 1.0,
            ratio_spread: 1.0,
        }],
        pools: vec![PoolCapacity {
            service: "desk".into(),
            most_free: Resources::new(7_000, 100_000),
        }],
    }
}

fn is_refused(report: &CapacityReport, spec: &JobSpec) -> bool {
    report.refusal(spec, &queue()).is_some()
}

#[test]
fn burst_of_four_times_the_objective_ahead_is_refused_at_once() {
    let refusal = report(4_000, 2 * LIMIT_MS).refusal(&quick_job(), &queue());

    let refusal = refusal.expect("a refusal");
    assert_eq!(refusal.limit, Duration::from_millis(LIMIT_MS));
    assert_eq!(refusal.needed, Duration::from_millis(2 * LIMIT_MS + 800));
}

/// Guards against a wrong refusal, which costs the caller the whole job.
#[test]
fn shortage_that_lets_a_job_end_within_three_times_its_objective_refuses_nothing() {
    assert!(!is_refused(&report(4_000, LIMIT_MS), &quick_job()));
    // All that waits is late, so a new job goes before it.
    assert!(!is_refused(&report(0, 10 * LIMIT_MS), &quick_job()));
}

#[test]
fn shortage_beside_free_executors_refuses_nothing() {
    let mut free = report(4_000, 10 * LIMIT_MS);
    free.pools[0].most_free = Resources::new(8_000, 1_000);

    assert!(!is_refused(&free, &quick_job()));
}

#[test]
fn shortage_of_another_queue_or_of_an_unknown_pool_refuses_nothing() {
    let mut other_queue = report(4_000, 10 * LIMIT_MS);
    other_queue.backlogs[0].queue = "plans".into();
    let mut other_pool = report(4_000, 10 * LIMIT_MS);
    other_pool.pools.clear();

    assert!(!is_refused(&other_queue, &quick_job()));
    assert!(!is_refused(&other_pool, &quick_job()));
}

/// Guards against refusals by a report that does not cover the capacity for these tasks.
#[test]
fn fillers_and_long_running_tasks_are_never_refused() {
    let shortage = report(4_000, 10 * LIMIT_MS);
    let mut filler = quick_job();
    filler.steps[0].is_filler = true;
    let mut serving = quick_job();
    serving.steps[0].is_long_running = true;

    assert!(!is_refused(&shortage, &filler));
    assert!(!is_refused(&shortage, &serving));
}

/// Guards against refusals by estimates that are too low by half, where the objective is later.
#[test]
fn estimates_off_by_half_count_in_favour_of_the_job() {
    let mut uncertain = report(4_000, LIMIT_MS * 3 / 2);
    let certain = is_refused(&uncertain, &quick_job());
    uncertain.backlogs[0].ratio_spread = 2.0;

    assert!(certain);
    assert!(!is_refused(&uncertain, &quick_job()));
}

/// Guards against clients that all return at once, and before there is capacity.
#[test]
fn refused_clients_return_over_the_second_half_of_the_expected_wait() {
    let refusal = report(4_000, 20_000).refusal(&quick_job(), &queue());
    let refusal = refusal.expect("a refusal");

    let times: Vec<Duration> = (0..200)
        .map(|_| refusal.return_time(Duration::from_secs(1)))
        .collect();

    let earliest = times.iter().min().expect("a time");
    let latest = times.iter().max().expect("a time");
    assert!(*earliest >= Duration::from_secs(10), "{earliest:?}");
    assert!(*latest <= Duration::from_secs(20), "{latest:?}");
    assert!(*latest - *earliest > Duration::from_secs(5));
}

/// Guards against refusals by a figure from before the end of a burst, such as of an owner that can't
/// be reached any more.
#[test]
fn report_older_than_two_seconds_refuses_nothing() {
    let start = Instant::now();
    let mut view = CapacityView::default();
    let before = view.recent(0, start).is_some();
    view.store(0, report(4_000, 10 * LIMIT_MS), start);
    view.store(
        0,
        CapacityReport::default(),
        start - Duration::from_millis(1),
    );

    let recent = view.recent(0, start + REPORT_AGE_MAX);
    let recent = recent.map(|(report, age)| (report.backlogs.len(), age));
    let old = view.recent(0, start + REPORT_AGE_MAX + Duration::from_millis(1));

    assert!(!before);
    assert_eq!(recent, Some((1, REPORT_AGE_MAX)));
    assert!(old.is_none());
}

/// Guards against one request for each submission of a burst.
#[test]
fn burst_of_submissions_requests_a_report_once_a_second() {
    let start = Instant::now();
    let mut view = CapacityView::default();
    view.store(0, report(4_000, 10 * LIMIT_MS), start);

    let submissions = (0..3_000).map(|ms| start + Duration::from_millis(ms));
    let requests = submissions.filter(|at| view.begin_request(0, *at)).count();

    assert_eq!(requests, 3);
}
