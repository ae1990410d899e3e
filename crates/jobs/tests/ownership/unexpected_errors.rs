//! Malformed records and unexpected errors. Guards against a process that ends, or lives on without
//! serving its cell, because of one of them.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::model::JobId;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::ownership::CellOwner;
use dotterelhook_jobs::platform::ExecutorLink;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::PaceOrder;
use dotterelhook_jobs::platform::Renewal;
use dotterelhook_jobs::platform::StartOrder;
use dotterelhook_jobs::platform::StopOrder;
use dotterelhook_types::ids::Incarnation;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::hosts::WAIT_MAX;
use crate::hosts::eventually;
use crate::memory_store::MemoryStore;
use crate::rights::PANICKING_ENTRY;
use crate::rights::context;
use crate::rights::list_executor;
use crate::rights::submission;
use crate::rights::write_entry;
use crate::rights::write_submission;

/// An executor whose first answer makes the session panic.
#[derive(Default)]
struct UnexpectedExecutor {
    renewals: AtomicU32,
}

#[async_trait]
impl ExecutorLink for UnexpectedExecutor {
    async fn renew(&self, _: &Renewal, _: Duration) -> Result<ExecutorReport, OrderError> {
        let earlier = self.renewals.fetch_add(1, Ordering::Relaxed);
        assert_ne!(earlier, 0, "an injected panic");
        sleep(Duration::from_millis(10)).await;
        Err(OrderError::Unknown("no answer".into()))
    }

    async fn start(&self, _: &StartOrder, _: Duration) -> Result<(), OrderError> {
        Err(OrderError::Unknown("no answer".into()))
    }

    async fn stop(&self, _: &StopOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }

    async fn pace(&self, _: &PaceOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }
}

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a valid id")
}

/// Stores records that no client's submission can lead to, from `first_job` on, and a submission after
/// them. Returns the id of the submission.
async fn write_malformed(store: &MemoryStore, first_job: u64) -> JobId {
    let mut without_steps = submission(1);
    without_steps.spec.steps.clear();
    let mut after_itself = submission(1);
    after_itself.spec.steps[0].after = vec![7];
    let mut huge = submission(1);
    huge.spec.steps = vec![
        StepSpec {
            count: u32::MAX,
            ..StepSpec::default()
        };
        4
    ];
    let invalid: [Submission; 3] = [without_steps, after_itself, huge];
    write_submission(store, "not-an-id", Bytes::from_static(b"x")).await;
    let garbage = Bytes::from_static(&[1, 255, 255, 255, 255, 255, 255]);
    write_submission(store, job(first_job).as_str(), garbage).await;
    for (number, invalid) in (first_job + 1..).zip(invalid) {
        let value = encode(&invalid).expect("a record");
        write_submission(store, job(number).as_str(), value).await;
    }
    let valid = job(first_job + 4);
    let value = encode(&submission(1)).expect("a record");
    write_submission(store, valid.as_str(), value).await;
    valid
}

async fn claim(store: &Arc<MemoryStore>) -> Arc<CellOwner> {
    let executor = Arc::new(UnexpectedExecutor::default());
    let claimed = CellOwner::claim(context(store, "a", &executor), 0).await;
    claimed.expect("a claim")
}

#[tokio::test]
async fn malformed_submissions_in_the_store_end_no_owner() {
    let store = Arc::new(MemoryStore::default());
    let stored_before = write_malformed(&store, 1).await;
    let owner = claim(&store).await;
    let stored_later = write_malformed(&store, 101).await;
    let knows = |id| matches!(owner.job_state(id), Ok(Some(_)));

    eventually("the later submission is read", || knows(stored_later)).await;

    assert!(knows(stored_before));
    assert!((1..5).all(|number| !knows(job(number))));
    assert!(owner.is_active());
    owner.release("the test is over");
}

#[tokio::test]
async fn an_owner_whose_task_panics_releases_the_cell() {
    let store = Arc::new(MemoryStore::default());
    let owner = claim(&store).await;

    write_entry(&store, PANICKING_ENTRY).await;

    let released = timeout(WAIT_MAX, owner.released()).await;
    assert!(released.is_ok(), "an owner without one of its tasks");
}

#[tokio::test]
async fn a_session_that_panics_is_followed_by_another_one() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let executor = Arc::new(UnexpectedExecutor::default());
    let owner = CellOwner::claim(context(&store, "a", &executor), 0).await;
    let owner = owner.expect("a claim");

    let is_called_again = || executor.renewals.load(Ordering::Relaxed) > 1;
    eventually("another session renews", is_called_again).await;

    assert!(owner.is_active());
    owner.release("the test is over");
}

/// An executor that lists an end which is never acknowledged, and therefore holds no answer.
#[derive(Default)]
struct PromptExecutor {
    renewals: AtomicU32,
}

#[async_trait]
impl ExecutorLink for PromptExecutor {
    async fn renew(&self, _: &Renewal, _: Duration) -> Result<ExecutorReport, OrderError> {
        self.renewals.fetch_add(1, Ordering::Relaxed);
        tokio::task::yield_now().await;
        Ok(ExecutorReport {
            clock_ms: 1_000,
            incarnation: Incarnation(1),
            running: Vec::new(),
            ended: Vec::new(),
            may_have_more_ends: false,
        })
    }

    async fn start(&self, _: &StartOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }

    async fn stop(&self, _: &StopOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }

    async fn pace(&self, _: &PaceOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }
}

/// Guards against a host whose processor an executor takes with answers that it doesn't hold.
#[tokio::test]
async fn an_executor_that_holds_no_answer_is_not_called_without_a_pause() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let executor = Arc::new(PromptExecutor::default());
    let owner = CellOwner::claim(context(&store, "a", &executor), 0).await;
    let owner = owner.expect("a claim");
    let renewals = || executor.renewals.load(Ordering::Relaxed);
    eventually("the session renews", || renewals() > 0).await;

    let before = renewals();
    sleep(Duration::from_millis(1_000)).await;

    let in_a_second = renewals() - before;
    assert!((2..=51).contains(&in_a_second), "{in_a_second} renewals");
    owner.release("the test is over");
}
