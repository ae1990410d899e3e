use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::JobId;

/// A request to the approval service for permission to run one step on some executors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The step that needs approval.
    pub step: StepRef,
    /// The candidate executors, at most 100.
    pub executors: Vec<ExecutorId>,
    /// The longest wait for the answer.
    pub timeout: Duration,
}

/// The decision of the approval service on one [`AdviceRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The approved executors. Each start order must carry the ticket of its executor.
    pub tickets: Vec<(ExecutorId, Box<str>)>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// A client of the approval service, which decides where the steps of some queues may run.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Requests approval for one step on at most 100 executors.
    ///
    /// # Errors
    /// The service is unreachable, is busy, or did not answer in time.
    async fn advise(&self, request: &AdviceRequest) -> Result<Advice, CallError>;
}
