use serde::Deserialize;
use serde::Serialize;

use crate::model::Checkpoint;
use crate::model::ExecutorKey;
use crate::model::JobState;
use crate::model::RunNumber;

/// Where a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// It runs nowhere.
    #[default]
    Waiting,
    /// Its newest run belongs to this executor until its end is known.
    Placed(ExecutorKey),
    /// Its work is done.
    Done,
}

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Where it is.
    pub status: TaskStatus,
    /// Its newest run.
    pub run: RunNumber,
    /// How many of its runs failed.
    pub failures: u32,
    /// The state from which its next run resumes.
    pub checkpoint: Option<Checkpoint>,
}

/// How far a job is, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Its final state, once it has one.
    pub outcome: Option<JobState>,
    /// Its tasks by occurrence, step and index; those after the last one have not begun.
    pub tasks: Vec<TaskProgress>,
}
