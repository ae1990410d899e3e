use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::QueueConfig;
use crate::policy::least_slack_first::remaining_critical_path_ms;

/// The time that a job has until its objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSlack {
    /// The objective for the whole job, in milliseconds.
    pub objective_ms: f64,
    /// The time until the job must begin its remaining work at its preferred placement, in
    /// milliseconds; negative when late.
    pub slack_ms: f64,
}

impl JobSlack {
    /// Returns the slack of a job of the given age whose step is ready.
    pub fn of(job: &Job, step_ref: StepRef, queue: &QueueConfig, age_ms: f64) -> Self {
        let whole_ms = job.submission().spec.critical_path_ms(|_| true) as f64;
        let objective_ms = queue.stretch * whole_ms + queue.target_latency_ms as f64;
        let remaining_ms = remaining_critical_path_ms(job, step_ref) as f64;
        Self {
            objective_ms,
            slack_ms: objective_ms - age_ms - remaining_ms,
        }
    }
}
