use tokio::time::Instant;

use super::RunTimeRatio;
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
    /// By how much the job's part of its queue exceeds its usual share of the capacity.
    pub excess: u32,
    /// The time until the job must begin its remaining work, in milliseconds; negative when late.
    pub slack_ms: i64,
}

/// What the rank of a step depends on beside its job.
#[derive(Clone, Copy, Debug)]
pub struct RankContext<'a> {
    /// The current configuration of the job's queue.
    pub queue: &'a QueueConfig,
    /// How the run times of the queue relate to the clients' estimates.
    pub run_time: RunTimeRatio,
    /// The current time.
    pub now: Instant,
}

/// Orders the steps that compete for room in a cell.
pub trait QueuePolicy: Send + Sync {
    /// Ranks a step that has tasks to start.
    fn rank(&self, job: &Job, step_ref: StepRef, context: &RankContext<'_>) -> Rank;
}
