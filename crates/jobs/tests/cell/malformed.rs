//! Messages and records with extreme or inconsistent content. Guards against one of them ending the
//! owner's process, or a task of it, with a panic.

use std::time::Duration;

use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::ExecutorClock;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::Schedule;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;

use crate::fixture::CellHarness;
use crate::fixture::LEASE;
use crate::fixture::SERVICE;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// Places, reports and expires for some seconds.
fn run_on(harness: &mut CellHarness) {
    for _ in 0..5 {
        harness.commit();
        harness.cell.create_due_occurrences(u64::MAX / 2);
        harness.advance(Duration::from_secs(2));
        harness.cell.expire_leases(harness.now);
        harness.cell.relocate_runs(harness.now);
        harness.cell.log_load(harness.now);
        harness.report("i-1", vec![], vec![]);
        let _ = harness.cell.renewal(&"i-1".into(), true);
    }
}

#[tokio::test]
async fn extreme_figures_of_a_client_end_no_owner() {
    let extreme = StepSpec {
        need: Resources::new(u64::MAX, u64::MAX),
        estimate_ms: u64::MAX,
        tail_target_ms: Some(u64::MAX),
        per_executor_max: Some(u32::MAX),
        unavailable_max: Some(u32::MAX),
        is_long_running: true,
        ..step(2, 0, &[])
    };
    let filler = StepSpec {
        is_filler: true,
        tail_target_ms: None,
        is_long_running: false,
        ..extreme.clone()
    };
    let long = StepSpec {
        estimate_ms: u64::MAX,
        ..step(2, 1, &[])
    };
    let mut harness = CellHarness::with_job(&submission(vec![extreme, filler, long.clone(), long]));

    run_on(&mut harness);

    harness
        .cell
        .accept(job(2), submission(vec![step(1, 1, &[])]), harness.now);
    harness.commit();
    assert!(!harness.take_orders("i-1").is_empty());
}

#[tokio::test]
async fn extreme_figures_of_an_executor_end_no_owner() {
    let mut harness = CellHarness::with_job(&submission(vec![step(2, 1, &[])]));
    for id in ["i-8", "i-9"] {
        let entry = ExecutorEntry {
            id: id.into(),
            incarnation: Some(Incarnation(u64::MAX)),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            failure_domain: "laguna".into(),
            labels: Vec::new(),
            capacity: Resources::new(u64::MAX, u64::MAX),
            phase: ExecutorPhase::Draining {
                remaining_ms: Some(u64::MAX),
            },
            cold_left: Duration::MAX,
        };
        harness.cell.upsert_executor(entry, harness.now);
    }
    let extreme = RunningRun {
        progress_percent: f64::MAX,
        recent_measurement: Some(f64::MAX),
        ..running(task(1, 0, 0), u32::MAX)
    };
    let reports = ["i-1", "i-8", "i-9"].map(|id| (id, extreme.clone()));

    for (id, listed) in reports {
        let report = ExecutorReport {
            clock_ms: u64::MAX,
            incarnation: Incarnation(u64::MAX),
            running: vec![listed],
            ended: vec![ended(u64::MAX, task(1, 9, 9), u32::MAX, RunEnd::Done)],
            may_have_more_ends: false,
        };
        let now = harness.now;
        harness.cell.handle_report(&id.into(), report, now, now);
        let _ = harness.cell.renewal(&id.into(), true);
    }
    run_on(&mut harness);

    assert!(harness.cell.executor(&"i-9".into()).is_some());
}

#[tokio::test]
async fn a_run_number_at_its_end_does_not_wrap() {
    assert_eq!(RunNumber(u32::MAX).next(), RunNumber(u32::MAX));
}

#[test]
fn the_lease_end_of_an_extreme_clock_does_not_wrap() {
    let clock = ExecutorClock::new(u64::MAX, Instant::now());

    assert_eq!(clock.lease_end_ms(LEASE), u64::MAX);
}

/// Guards against a job that takes all memory of each owner, one after the other.
#[test]
fn a_job_with_too_many_occurrences_is_refused() {
    let spec = |count, occurrences| JobSpec {
        payload: "work".into(),
        steps: vec![step(count, 1, &[])],
        schedule: Some(Schedule {
            occurrences,
            first_unix_ms: 0,
            interval_ms: 0,
        }),
    };

    assert!(spec(1, u32::MAX).validate().is_err());
    assert!(spec(4_000, 11).validate().is_err());
    assert!(spec(1, 0).validate().is_err());
    assert!(spec(4_000, 10).validate().is_ok());
}

/// Guards against TWICE: an end that is listed behind a later one is acknowledged without its effect.
#[tokio::test]
async fn ends_count_in_whatever_order_they_are_listed() {
    let mut harness = CellHarness::with_job(&submission(vec![step(2, 1, &[])]));
    harness.commit();
    harness.accept_starts("i-1");
    let ends = vec![
        ended(2, task(1, 0, 1), 1, RunEnd::Done),
        ended(1, task(1, 0, 0), 1, RunEnd::Done),
    ];

    harness.report("i-1", vec![], ends);
    harness.commit();

    let state = harness.cell.lookup_job_state(job(1));
    assert_eq!(state, JobLookup::Known(JobState::Completed));
}

/// Guards against a record that the store refuses each time, which would hold up the whole cell.
#[tokio::test]
async fn the_record_of_a_job_with_huge_checkpoints_stays_below_the_limit_of_the_store() {
    let mut harness = CellHarness::with_job(&submission(vec![step(2, 1, &[])]));
    harness.commit();
    harness.accept_starts("i-1");
    let huge = EndedRun {
        checkpoint: Some("x".repeat(3 << 20).as_str().into()),
        ..ended(1, task(1, 0, 0), 1, RunEnd::Lapsed)
    };

    harness.report("i-1", vec![], vec![huge]);
    let batch = harness.store_next_batch();

    let sizes = batch.records.iter().map(|record| record.value.len());
    assert!(sizes.sum::<usize>() < 2 << 20);
    assert!(harness.stored.contains_key(&job(1)));
}
