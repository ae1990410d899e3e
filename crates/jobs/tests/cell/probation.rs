//! Executors on probation after failed runs, which get one run at a time.

use std::time::Duration;

use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;

use crate::fixture::CellHarness;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// Fails a run of each of two jobs, which puts the only executor on probation.
fn harness_on_probation() -> CellHarness {
    let mut harness = CellHarness::with_job(&submission(vec![step(1, 1_000, &[])]));
    harness
        .cell
        .accept(job(2), submission(vec![step(1, 1_000, &[])]), harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    let failures = [
        ended(1, task(1, 0, 0), 1, RunEnd::Failed),
        ended(2, task(2, 0, 0), 1, RunEnd::Failed),
    ];
    harness.report("i-1", vec![], failures.to_vec());
    for number in [1, 2] {
        harness.cell.cancel(job(number), harness.now);
    }
    harness.commit();
    harness.advance(Duration::from_secs(3));
    harness
}

/// Guards against members of one gang that keep each other away, so that the gang never starts and the
/// executor never gets the run that would end its probation.
#[tokio::test]
async fn a_gang_counts_as_one_run_on_probation() {
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 500, &[])
    };
    let mut harness = harness_on_probation();
    harness.report("i-1", vec![], vec![]);
    harness
        .cell
        .accept(job(3), submission(vec![gang.clone()]), harness.now);
    harness
        .cell
        .accept(job(4), submission(vec![gang]), harness.now);

    harness.commit();
    let started = harness.accept_starts("i-1");

    assert_eq!(started.len(), 3, "{started:?}");
    assert!(started.iter().all(|task| task.job == started[0].job));
}

/// Guards against a lasting task that waits for as long as a paused filler makes no progress.
#[tokio::test]
async fn a_paused_filler_does_not_keep_an_executor_on_probation_from_lasting_tasks() {
    let filler = StepSpec {
        is_filler: true,
        image: Some("nesting".into()),
        ..step(1, 500, &[])
    };
    let serving = StepSpec {
        is_long_running: true,
        tail_target_ms: Some(100),
        image: Some("feed".into()),
        ..step(1, 1_000, &[])
    };
    let mut harness = harness_on_probation();
    let (feed, paused) = (task(3, 0, 0), task(4, 0, 0));
    let feed_with_tail = |ms| RunningRun {
        recent_measurement: Some(ms),
        progress_percent: 100.0,
        ..running(feed, 1)
    };
    let filler_at_rest = RunningRun {
        progress_percent: 0.0,
        ..running(paused, 1)
    };
    harness.report("i-1", vec![], vec![]);
    harness
        .cell
        .accept(job(3), submission(vec![serving.clone()]), harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    harness.report("i-1", vec![feed_with_tail(30.0)], vec![]);
    harness
        .cell
        .accept(job(4), submission(vec![filler]), harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    for _ in 0..20 {
        let runs = vec![filler_at_rest.clone(), feed_with_tail(400.0)];
        harness.report("i-1", runs, vec![]);
        harness.advance(Duration::from_millis(300));
    }
    let paces = harness.take_orders("i-1");

    harness
        .cell
        .accept(job(5), submission(vec![serving]), harness.now);
    let runs = vec![filler_at_rest, feed_with_tail(400.0)];
    harness.report("i-1", runs, vec![]);
    harness.commit();

    let starts = harness.take_orders("i-1");
    assert!(
        paces.contains(&Order::Pace(paused, RunNumber(1), 0)),
        "{paces:?}"
    );
    assert!(
        starts.contains(&Order::Start(task(5, 0, 0), RunNumber(1))),
        "{starts:?}"
    );
}
