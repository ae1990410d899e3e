use std::error::Error;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::StepSpec;

/// The most tasks of one occurrence; a larger job would not fit a record of the store.
const TASKS_MAX: u64 = 4_000;
/// The most steps of a job.
const STEPS_MAX: usize = 200;

/// Why a job can't be accepted as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpecError(Box<str>);

impl JobSpecError {
    /// Creates an error from one sentence.
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

/// When a job repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times the steps run.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// The time between occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after_first = self.interval_ms.saturating_mul(occurrence.into());
        self.first_unix_ms.saturating_add(after_first)
    }
}

/// What a client submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The text that is handed to each task.
    pub payload: Arc<str>,
    /// The steps, each after those that it names.
    pub steps: Vec<StepSpec>,
    /// Set if the job repeats.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Checks the steps against each other and against the limits of a job.
    ///
    /// # Errors
    /// Names the first step that breaks a rule.
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
            if step.after.iter().any(|before| *before as usize >= number) {
                let rule = format!("step {number} may only come after earlier steps");
                return Err(JobSpecError::new(rule));
            }
        }
        let tasks = self.task_count();
        if tasks > TASKS_MAX {
            let rule = format!("a job has at most {TASKS_MAX} tasks, this one {tasks}");
            return Err(JobSpecError::new(rule));
        }
        Ok(self)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of occurrences.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns whether some step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
