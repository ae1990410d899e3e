use std::time::Duration;

use dotterelhook_jobs::ledger::decode;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_jobs::policy::LearnedInterference;
use dotterelhook_jobs::policy::LearnedRunTime;
use dotterelhook_jobs::policy::RunTimeRatio;

use crate::fixture::CellHarness;
use crate::fixture::QUEUE;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

/// The number of runs from which a ratio is used.
const RUNS: u32 = 20;
/// Twice the estimate of the steps.
const RUN_TIME: Duration = Duration::from_millis(2_000);

fn ratio(harness: &CellHarness) -> RunTimeRatio {
    harness.cell.run_time_ratio(&QUEUE.into())
}

/// A cell with an executor that has room for all tasks of a job and runs them.
fn running_harness(step: StepSpec) -> CellHarness {
    let submitted = submission(vec![StepSpec {
        count: RUNS,
        ..step
    }]);
    let mut harness = CellHarness::new();
    harness.list_executor("i-1", 100_000);
    harness.report("i-1", vec![], vec![]);
    harness.cell.accept(job(1), submitted, harness.now);
    harness.commit();
    harness.accept_starts("i-1");
    harness
}

fn end_all(harness: &mut CellHarness, run: u32) {
    let ends = (0..RUNS).map(|index| {
        let number = u64::from(index) + 1;
        ended(number, task(1, 0, index), run, RunEnd::Done)
    });
    harness.report("i-1", vec![], ends.collect());
}

/// Guards against an order by the clients' estimates where all runs take twice as long.
#[tokio::test]
async fn runs_that_take_twice_their_estimate_are_learned_when_they_end() {
    let mut harness = running_harness(step(1, 1_000, &[]));

    harness.advance(RUN_TIME);
    end_all(&mut harness, 1);

    let ratio = ratio(&harness);
    assert!((1.95..2.1).contains(&ratio.typical), "{ratio:?}");
}

/// Guards against a new owner that falls back to the clients' estimates, and against one that can't
/// read the loads because the figures share a record.
#[tokio::test]
async fn takeover_under_load_keeps_the_learned_run_times_in_a_record_of_their_own() {
    let mut harness = running_harness(step(1, 1_000, &[]));
    harness.advance(RUN_TIME);
    end_all(&mut harness, 1);

    let batch = harness.store_next_batch();
    let record = |key: &str| {
        let found = batch.records.iter().find(|record| &*record.key == key);
        found.expect("a record").value.clone()
    };
    let learned: Vec<LearnedRunTime> = decode(&record("learned-run-times")).expect("run times");
    let mut next = harness.take_over(&[]);
    next.cell.restore_run_times(learned);

    assert_eq!(ratio(&next), ratio(&harness));
    assert_ne!(ratio(&next), RunTimeRatio::default());
    decode::<LearnedInterference>(&record("learned-pressures")).expect("the layout of the loads");
}

/// Guards against run times that include the time before a takeover that the new owner did not see.
#[tokio::test]
async fn runs_whose_start_this_owner_did_not_see_teach_nothing() {
    let submitted = submission(vec![StepSpec {
        count: RUNS,
        ..step(1, 1_000, &[])
    }]);
    let harness = running_harness(step(1, 1_000, &[]));

    let mut next = harness.take_over(&[(job(1), submitted)]);
    next.list_executor("i-1", 100_000);
    let listed = (0..RUNS).map(|index| running(task(1, 0, index), 1));
    next.report("i-1", listed.collect(), vec![]);
    next.advance(RUN_TIME);
    end_all(&mut next, 1);

    assert_eq!(ratio(&next), RunTimeRatio::default());
}

/// Guards against short run times of tasks that did most of their work in an earlier run.
#[tokio::test]
async fn runs_that_resume_from_a_checkpoint_teach_nothing() {
    let mut harness = running_harness(StepSpec {
        checkpoints: true,
        ..step(1, 1_000, &[])
    });
    let saved = |index| RunningRun {
        checkpoint: Some("00000bb87a21d94b".into()),
        ..running(task(1, 0, index), 1)
    };
    harness.report("i-1", (0..RUNS).map(saved).collect(), vec![]);
    let stops = (0..RUNS).map(|index| {
        let mut end = ended(u64::from(index) + 1, task(1, 0, index), 1, RunEnd::Stopped);
        end.checkpoint = Some("00000bb87a21d94b".into());
        end
    });
    harness.report("i-1", vec![], stops.collect());
    harness.commit();
    harness.accept_starts("i-1");

    harness.advance(Duration::from_millis(100));
    let ends = (0..RUNS).map(|index| {
        let number = u64::from(RUNS + index) + 1;
        ended(number, task(1, 0, index), 2, RunEnd::Done)
    });
    harness.report("i-1", vec![], ends.collect());

    assert_eq!(ratio(&harness), RunTimeRatio::default());
}

/// Guards against run times that include the time for which a filler was paused.
#[tokio::test]
async fn fillers_that_were_paced_teach_nothing() {
    let filler = StepSpec {
        is_filler: true,
        image: Some("nesting".into()),
        ..step(1, 500, &[])
    };
    let serving = StepSpec {
        is_long_running: true,
        image: Some("web".into()),
        tail_target_ms: Some(100),
        ..step(1, 1_000, &[])
    };
    let mut harness = running_harness(filler);
    harness
        .cell
        .accept(job(2), submission(vec![serving]), harness.now);
    harness.commit();
    harness.accept_starts("i-1");

    for _ in 0..8 {
        let fillers = (0..RUNS).map(|index| running(task(1, 0, index), 1));
        let over = RunningRun {
            recent_measurement: Some(300.0),
            ..running(task(2, 0, 0), 1)
        };
        harness.report("i-1", fillers.chain([over]).collect(), vec![]);
        harness.advance(Duration::from_millis(500));
    }
    end_all(&mut harness, 1);

    assert_eq!(ratio(&harness), RunTimeRatio::default());
}
