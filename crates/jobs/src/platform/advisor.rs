use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::JobId;

/// A question to the approval service: which executors may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobId,
    /// The step.
    pub step: StepRef,
    /// The executors that are asked about.
    pub executors: Vec<ExecutorId>,
    /// The longest wait for the answer.
    pub timeout: Duration,
}

/// What the approval service answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The executors that may run the step, each with the ticket that its starts carry.
    pub tickets: Vec<(ExecutorId, Box<str>)>,
    /// How long the tickets are valid.
    pub valid_for: Duration,
}

/// The service that decides which executors may run the steps of some queues.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Asks about some executors, at most 100.
    ///
    /// # Errors
    /// The service can't be reached, is busy, or did not answer in time.
    async fn advise(&self, question: &AdviceRequest) -> Result<Advice, CallError>;
}
