use serde::Deserialize;
use serde::Serialize;

use super::FailureDomainName;
use super::JobSpec;
use super::QueueConfig;
use super::StepSpec;

/// The stored record of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue's configuration at acceptance; applies once the queue has been removed.
    pub queue: QueueConfig,
    /// The job as the client specified it.
    pub spec: JobSpec,
    /// The time of acceptance on the accepting host's clock, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// The failure domain of the accepting host. Its place in the record is outside of this
    /// structure, which former versions read.
    #[serde(skip)]
    pub entry_domain: Option<FailureDomainName>,
}

/// What the owner of a job keeps for it beside the parts that its specification determines.
const JOB_BYTES: usize = 2 << 10;
/// What the owner keeps for a task, once it was placed.
const TASK_BYTES: usize = 64;
/// What the owner keeps for a step of an occurrence.
const OCCURRENCE_STEP_BYTES: usize = 16;

impl Submission {
    /// Returns the memory that the owner of the job needs for it, at most.
    pub fn memory_bytes(&self) -> usize {
        let JobSpec { payload, steps, .. } = &self.spec;
        let occurrences = self.spec.occurrence_count() as usize;
        let steps_bytes: usize = steps.iter().map(StepSpec::memory_bytes).sum();
        let tasks_bytes = self.spec.all_task_count() as usize * TASK_BYTES;
        let occurrences_bytes = occurrences * steps.len() * OCCURRENCE_STEP_BYTES;
        JOB_BYTES + payload.len() + steps_bytes + tasks_bytes + occurrences_bytes
    }
}
