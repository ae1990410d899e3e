use serde::Deserialize;
use serde::Serialize;

use crate::model::Checkpoint;
use crate::model::ExecutorKey;
use crate::model::JobState;
use crate::model::RunNumber;

/// Whether a task waits, is placed or is done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// The task needs an executor.
    #[default]
    Waiting,
    /// The newest run belongs to this executor until its end is known.
    Placed(ExecutorKey),
    /// The task succeeded.
    Done,
}

/// The progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether the task waits, is placed or is done.
    pub status: TaskStatus,
    /// The number of the newest run; 0 before the first.
    pub run: RunNumber,
    /// The number of runs that failed.
    pub failures: u32,
    /// The saved state from which the next run resumes.
    pub checkpoint: Option<Checkpoint>,
}

/// The stored progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The final state, once reached.
    pub outcome: Option<JobState>,
    /// The tasks, sorted by occurrence, step and index. Tasks that the list does not reach have not
    /// started. The record of a finished job lists none.
    pub tasks: Vec<TaskProgress>,
}
