use std::error::Error;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::StepSpec;

/// Limits the tasks of one occurrence, which become ready together.
const TASKS_MAX: u64 = 4_000;
/// Limits the steps of a job.
pub const STEPS_MAX: usize = 200;
/// Limits the tasks of all occurrences. A placed task takes about 25 bytes in the store, and about 100 in
/// the memory of the owner.
const ALL_TASKS_MAX: u64 = 40_000;

/// The reason why a job specification is invalid, as one sentence for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpecError(Box<str>);

impl JobSpecError {
    /// Creates an error from one sentence that the client receives.
    pub fn new(cause: impl Into<Box<str>>) -> Self {
        Self(cause.into())
    }
}

impl fmt::Display for JobSpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for JobSpecError {}

/// The times at which a recurring job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of times that all steps run.
    pub occurrences: u32,
    /// The due time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// The time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the due time of an occurrence, counted from 0, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after_first = self.interval_ms.saturating_mul(occurrence.into());
        self.first_unix_ms.saturating_add(after_first)
    }
}

/// A job as the client specifies it: steps that form an acyclic graph.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that each task receives at its start.
    pub payload: Arc<str>,
    /// The steps; each may depend on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// The schedule of a recurring job.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns the specification if its steps are consistent and within the limits of a job.
    ///
    /// A specification that violates a rule must not reach a cell owner, whether a client sent it or a
    /// record of the store holds it.
    ///
    /// # Errors
    /// Names the first rule that a step or the whole job violates.
    pub fn validate(self) -> Result<Self, JobSpecError> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(JobSpecError::new(format!(
                "a job has 1 to {STEPS_MAX} steps, this one {}",
                self.steps.len()
            )));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(JobSpecError::new(format!("step {number} has no tasks")));
            }
            if step
                .after
                .iter()
                .any(|predecessor| *predecessor as usize >= number)
            {
                let rule = format!("step {number} may only come after earlier steps");
                return Err(JobSpecError::new(rule));
            }
        }
        let tasks = self.task_count();
        if tasks > TASKS_MAX {
            let rule = format!("a job has at most {TASKS_MAX} tasks, this one {tasks}");
            return Err(JobSpecError::new(rule));
        }
        let occurrences = u64::from(self.occurrence_count());
        if occurrences == 0 || tasks * occurrences > ALL_TASKS_MAX {
            let rule = format!(
                "all occurrences have 1 to {ALL_TASKS_MAX} tasks, {occurrences} of {tasks} are not"
            );
            return Err(JobSpecError::new(rule));
        }
        Ok(self)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of tasks of all occurrences.
    pub fn all_task_count(&self) -> u64 {
        self.task_count() * u64::from(self.occurrence_count())
    }

    /// Returns the sum of estimates along the critical path, in milliseconds; steps that are not
    /// included count as 0 ms.
    pub fn critical_path_ms(&self, is_included: impl Fn(u32) -> bool) -> u64 {
        let mut ends_ms = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let predecessors = step.after.iter().map(|other| ends_ms[*other as usize]);
            let start_ms: u64 = predecessors.max().unwrap_or(0);
            let own_ms = if is_included(number as u32) {
                step.estimate_ms
            } else {
                0
            };
            ends_ms.push(start_ms + own_ms);
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the number of occurrences; 1 without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
