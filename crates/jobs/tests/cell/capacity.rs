use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::admission::CapacityReport;
use dotterelhook_jobs::model::Submission;
use dotterelhook_types::sizes::Resources;

use crate::fixture::CellHarness;
use crate::fixture::QUEUE;
use crate::fixture::SERVICE;
use crate::fixture::job;
use crate::fixture::step;
use crate::fixture::submission;

/// The time after a takeover from which an owner reports backlogs.
const TAKEOVER: Duration = Duration::from_secs(10);

/// The factor by which unknown estimates may be too long, which counts in favour of new jobs.
const UNKNOWN_SPREAD: f64 = 1.9;

/// A cell with one executor of 4 cores that runs four tasks of 1 s, while jobs wait that need it for
/// the given seconds and entered through the first failure domain.
fn full_harness(waiting_s: u32) -> CellHarness {
    let mut harness = CellHarness::new();
    harness.advance(TAKEOVER);
    harness.list_executor("i-1", 4_000);
    harness.report("i-1", vec![], vec![]);
    let submitted = submission(vec![step(4 * (waiting_s + 1), 1_000, &[])]);
    let submitted = Arc::new(Submission {
        entry_domain: Some("laguna".into()),
        ..Arc::unwrap_or_clone(submitted)
    });
    harness.cell.accept(job(1), submitted, harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    harness
}

fn report(harness: &CellHarness, domain: &str) -> CapacityReport {
    harness
        .cell
        .capacity_report(Some(&domain.into()), harness.now)
}

#[tokio::test]
async fn full_cell_reports_the_time_that_its_backlog_takes() {
    let harness = full_harness(5);

    let report = report(&harness, "laguna");

    let backlog = &report.backlogs[0];
    let expected_ms = (5_000.0 / UNKNOWN_SPREAD) as u64;
    assert_eq!(
        (backlog.queue.as_str(), backlog.all_ms),
        (QUEUE, expected_ms)
    );
    assert_eq!(backlog.in_time_ms, expected_ms);
    assert_eq!(backlog.ratio_spread, UNKNOWN_SPREAD);
    assert_eq!(report.pools[0].service.as_str(), SERVICE);
    assert_eq!(report.pools[0].most_free, Resources::new(0, 96_000));
}

/// Guards against refusals for what goes after a new job: work that is late counts for late jobs only,
/// and work without value for none.
#[tokio::test]
async fn full_cell_does_not_count_work_that_a_new_job_overtakes() {
    let mut harness = full_harness(5);
    harness.advance(Duration::from_secs(4));
    let late = report(&harness, "laguna").backlogs[0].clone();
    harness.advance(Duration::from_secs(20));
    let worthless = report(&harness, "laguna").backlogs[0].clone();

    let expected_ms = (5_000.0 / UNKNOWN_SPREAD) as u64;
    assert_eq!((late.in_time_ms, late.all_ms), (0, expected_ms));
    assert_eq!((worthless.in_time_ms, worthless.all_ms), (0, 0));
}

/// Guards against the refusal of calm domains' jobs because of a burst that they overtake.
#[tokio::test]
async fn burst_from_one_failure_domain_does_not_count_for_the_others() {
    let mut harness = full_harness(0);
    let submit = |harness: &mut CellHarness, number, domain: &str| {
        let submitted = Submission {
            entry_domain: Some(domain.into()),
            ..Arc::unwrap_or_clone(submission(vec![step(4, 1_000, &[])]))
        };
        let now = harness.now;
        harness.cell.accept(job(number), Arc::new(submitted), now);
    };
    for second in 1..=60 {
        for (domain, number) in [("laguna", 100 + second), ("cavite", 200 + second)] {
            submit(&mut harness, number, domain);
            harness.cell.cancel(job(number), harness.now);
        }
        harness.advance(Duration::from_secs(1));
    }
    for number in 300..340 {
        submit(&mut harness, number, "laguna");
    }
    submit(&mut harness, 400, "cavite");

    let burst = report(&harness, "laguna").backlogs[0].in_time_ms;
    let calm = report(&harness, "cavite").backlogs[0].in_time_ms;

    assert_eq!(burst, (41_000.0 / UNKNOWN_SPREAD) as u64);
    assert!(calm < 5_000, "{calm}");
}

/// Guards against refusals by a new owner whose executors have not answered, and by one that sees no
/// task run, so that it can't tell the rate.
#[tokio::test]
async fn new_owner_and_owner_without_running_tasks_report_no_backlog() {
    let mut harness = CellHarness::new();
    harness
        .cell
        .accept(job(1), submission(vec![step(400, 1_000, &[])]), harness.now);
    let new = report(&harness, "laguna");
    harness.advance(TAKEOVER);
    let idle = report(&harness, "laguna");

    assert_eq!((new.backlogs.len(), idle.backlogs.len()), (0, 0));
}
