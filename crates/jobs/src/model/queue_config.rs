use serde::Deserialize;
use serde::Serialize;

use super::QueueName;
use super::ServiceId;

/// The response times of a queue's approval service and the lifetime of its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvisorTiming {
    /// The base latency of a call, in milliseconds.
    pub decide_ms: u64,
    /// The latency that each executor in a call adds, in milliseconds.
    pub per_executor_ms: u64,
    /// The lifetime of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// The configuration of a queue, which applies to all its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// The unique name.
    pub name: QueueName,
    /// The pool whose executors run the queue's tasks.
    pub service: ServiceId,
    /// The rank among queues; 0 is the most urgent.
    pub priority: u32,
    /// The number of failures of a task, or of all members of a gang together, at which the job
    /// fails.
    pub attempts_max: u32,
    /// The factor on a job's critical path that gives the variable part of its latency objective.
    pub stretch: f64,
    /// The fixed part of a job's latency objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Set if each start needs a ticket from the approval service.
    pub advice: Option<AdvisorTiming>,
}
