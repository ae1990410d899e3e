//! The number of jobs of which no task has started.

use dotterelhook_jobs::model::Checkpoint;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::StartRefusal;

use crate::fixture::CellHarness;
use crate::fixture::LEASE;
use crate::fixture::QUEUE;
use crate::fixture::ended;
use crate::fixture::job;
use crate::fixture::running;
use crate::fixture::step;
use crate::fixture::submission;
use crate::fixture::task;

const RUN: RunNumber = RunNumber(1);

/// A cell with job 1, whose only task is placed on an executor that has not answered the start.
fn placed_job() -> CellHarness {
    let mut harness = CellHarness::with_job(&submission(vec![step(1, 1_000, &[])]));
    harness.commit();
    harness
}

fn answer_start(harness: &mut CellHarness, answer: Result<(), OrderError>) {
    let (id, now) = ("i-1".into(), harness.now);
    harness
        .cell
        .handle_start_result(&id, task(1, 0, 0), RUN, answer, now);
}

/// The cell of the next owner, which restores job 1 from its stored progress.
fn taken_over(harness: &CellHarness) -> CellHarness {
    let submitted = submission(vec![step(1, 1_000, &[])]);
    let mut next = harness.take_over(&[(job(1), submitted)]);
    next.list_executor("i-1", 4_000);
    next
}

fn pending_count(harness: &CellHarness) -> u64 {
    harness.cell.pending_count(&QUEUE.into())
}

/// Guards against MIXED: executors refuse the starts of a burst, and its jobs no longer count as pending.
#[tokio::test]
async fn a_job_whose_start_was_refused_is_pending() {
    let mut harness = placed_job();

    let refusal = OrderError::Refused(StartRefusal::Unhealthy);
    answer_start(&mut harness, Err(refusal));

    assert_eq!(pending_count(&harness), 1);
}

/// Guards against MIXED: jobs count as begun while executors leave their starts unanswered.
#[tokio::test]
async fn a_job_is_pending_until_an_executor_has_accepted_its_start() {
    let mut harness = placed_job();
    let placed = pending_count(&harness);

    answer_start(&mut harness, Ok(()));

    assert_eq!((placed, pending_count(&harness)), (1, 0));
}

/// Guards against a job that counts as pending because its run was given up before the answer arrived.
#[tokio::test]
async fn a_job_whose_start_is_accepted_after_its_run_was_given_up_is_not_pending() {
    let mut harness = placed_job();
    harness.advance(LEASE * 2);
    harness.cell.expire_leases(harness.now);
    let given_up = pending_count(&harness);

    answer_start(&mut harness, Ok(()));

    assert_eq!((given_up, pending_count(&harness)), (1, 0));
}

/// Guards against a job that counts as pending while it runs, because the answer to its start was lost.
#[tokio::test]
async fn a_job_whose_run_is_listed_is_not_pending_though_its_start_was_not_answered() {
    let mut harness = placed_job();
    answer_start(&mut harness, Err(OrderError::Unknown("no answer".into())));
    let unanswered = pending_count(&harness);

    harness.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);

    assert_eq!((unanswered, pending_count(&harness)), (1, 0));
}

/// Guards against a job that counts as pending because its only run ended without an answered start.
#[tokio::test]
async fn a_job_with_an_ended_run_is_not_pending() {
    let mut harness = placed_job();
    answer_start(&mut harness, Err(OrderError::Unknown("no answer".into())));
    let unanswered = pending_count(&harness);

    let end = ended(1, task(1, 0, 0), 1, RunEnd::Stopped);
    harness.report("i-1", vec![], vec![end]);

    assert_eq!((unanswered, pending_count(&harness)), (1, 0));
}

/// Guards against MIXED: the next owner counts jobs as begun whose starts never arrived.
#[tokio::test]
async fn a_job_whose_start_never_arrived_is_pending_after_a_takeover() {
    let mut next = taken_over(&placed_job());
    let restored = pending_count(&next);

    next.report("i-1", vec![], vec![]);

    assert_eq!((restored, pending_count(&next)), (1, 1));
}

/// Guards against a job that counts as pending although the next owner finds its run.
#[tokio::test]
async fn a_job_whose_run_is_listed_after_a_takeover_is_not_pending() {
    let mut next = taken_over(&placed_job());
    let restored = pending_count(&next);

    next.report("i-1", vec![running(task(1, 0, 0), 1)], vec![]);

    assert_eq!((restored, pending_count(&next)), (1, 0));
}

/// Guards against a job that counts as pending after a takeover although its record shows ended runs.
#[tokio::test]
async fn a_job_with_a_stored_end_is_not_pending_after_a_takeover() {
    let checkpoint: Checkpoint = "00000bb87a21d94b".into();
    let mut stopped = ended(1, task(1, 0, 0), 1, RunEnd::Stopped);
    stopped.checkpoint = Some(checkpoint);
    let failed = ended(1, task(1, 0, 0), 1, RunEnd::Failed);

    let counts = [stopped, failed].map(|end| {
        let mut harness = placed_job();
        answer_start(&mut harness, Ok(()));
        harness.report("i-1", vec![], vec![end]);
        harness.commit();
        pending_count(&taken_over(&harness))
    });

    assert_eq!(counts, [0, 0]);
}
