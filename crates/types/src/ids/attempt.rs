use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::RunId;

/// Identifies one task of a run; formatted as `run:index`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The run that the task belongs to.
    pub run: RunId,
    /// Index of the task within the run, starting at 0.
    pub index: u32,
}

/// Identifies one attempt to execute a task; formatted as `run:index:number`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct AttemptId {
    /// The task that the attempt executes.
    pub task: TaskId,
    /// Number of the attempt within the task, starting at 1.
    pub number: u32,
}

/// A parse error: the text is neither a task id nor an attempt id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptIdError {
    text: Box<str>,
}

impl fmt::Display for AttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not an id of the form run:index or run:index:number",
            self.text
        )
    }
}

impl Error for AttemptIdError {}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.run, self.index)
    }
}

impl FromStr for TaskId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, AttemptIdError> {
        let error = || AttemptIdError { text: text.into() };
        let (run, index) = text.split_once(':').ok_or_else(error)?;
        let run = run.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Self { run, index })
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.task, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<Self, AttemptIdError> {
        let error = || AttemptIdError { text: text.into() };
        let (task, number) = text.rsplit_once(':').ok_or_else(error)?;
        let task = task.parse().map_err(|_| error())?;
        let number = number.parse().map_err(|_| error())?;
        Ok(Self { task, number })
    }
}

impl TryFrom<Box<str>> for AttemptId {
    type Error = AttemptIdError;

    fn try_from(text: Box<str>) -> Result<Self, AttemptIdError> {
        text.parse()
    }
}

impl From<AttemptId> for Box<str> {
    fn from(id: AttemptId) -> Self {
        id.to_string().into()
    }
}
