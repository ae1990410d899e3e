use std::error::Error;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::JobId;

/// A text that is not a task's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskIdError;

impl fmt::Display for TaskIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task's id has the form JOB.OCCURRENCE.STEP.INDEX")
    }
}

impl Error for TaskIdError {}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which occurrence of a scheduled job, from 0; 0 for any other job.
    pub occurrence: u32,
    /// The number of the step, from 0.
    pub step: u32,
    /// The task's place in its step, from 0.
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

/// Counts the starts of one task, from 1; 0 before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

impl RunNumber {
    /// Returns the number of the next start.
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
