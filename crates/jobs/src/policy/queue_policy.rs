use tokio::time::Instant;

use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::QueueConfig;

/// The sort key of a step in the queue; smaller ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The urgency class; work that can still meet its objective is in a smaller class.
    pub class: u32,
    /// The priority of the client's queue; 0 is the most important.
    pub priority: u32,
    /// The time until the job must begin its remaining work, in milliseconds; negative when late.
    pub slack_ms: i64,
}

/// Orders the steps that compete for room in a cell.
pub trait QueuePolicy: Send + Sync {
    /// Ranks a step that has tasks to start, by the configuration of its queue.
    fn rank(&self, job: &Job, step_ref: StepRef, queue: &QueueConfig, now: Instant) -> Rank;
}
