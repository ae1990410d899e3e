use tokio::time::Instant;

use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::QueueTerms;

/// A place in the queue; smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The class: what can still be in time goes before what can't.
    pub class: u32,
    /// The queue's priority; 0 goes first.
    pub priority: u32,
    /// The time until the job must begin its remaining work, in milliseconds.
    pub slack_ms: i64,
}

/// Decides which steps get room first.
pub trait QueuePolicy: Send + Sync {
    /// Returns the place of a step that has tasks to start.
    fn rank(&self, job: &Job, at: StepRef, terms: &QueueTerms, now: Instant) -> Rank;
}
