use std::error::Error;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::JobId;

/// The error for a text that is not a task id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskIdError;

impl fmt::Display for TaskIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task's id has the form JOB.OCCURRENCE.STEP.INDEX")
    }
}

impl Error for TaskIdError {}

/// The id of a task.
///
/// Written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The occurrence of a recurring job, from 0; always 0 for other jobs.
    pub occurrence: u32,
    /// The number of the step within the job, from 0.
    pub step: u32,
    /// The index of the task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(TaskIdError);
        let job = part()?.parse().map_err(|_| TaskIdError)?;
        let mut number = || part()?.parse().map_err(|_| TaskIdError);
        let task = Self {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(TaskIdError),
        }
    }
}

/// The number of a run among all runs of its task, from 1; 0 before the first run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// Returns the number of the next run.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RunNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
