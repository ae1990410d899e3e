use serde::Deserialize;
use serde::Serialize;

use super::QueueName;
use super::ServiceId;

/// How the approval service of a queue answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvisorTiming {
    /// The time that the service takes for a call, in milliseconds.
    pub decide_ms: u64,
    /// The time that it takes for each executor named in a call, in milliseconds.
    pub per_executor_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// What a queue grants its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// The queue.
    pub name: QueueName,
    /// The pool whose executors run its tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts_max: u32,
    /// The objective for a job is this many times its longest chain of work.
    pub stretch: f64,
    /// The time that the objective adds to that, in milliseconds.
    pub target_latency_ms: u64,
    /// Set if starts need a ticket of the approval service.
    pub advice: Option<AdvisorTiming>,
}
