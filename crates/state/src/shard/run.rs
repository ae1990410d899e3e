use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::RunSpec;

/// How far a run has come.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunStatus {
    /// Some tasks have not ended.
    Active,
    /// Every task succeeded.
    Complete,
    /// A task failed too often.
    Failed,
    /// The run was cancelled.
    Cancelled,
}

/// The state of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting {
        /// The number of attempts so far.
        attempts: u32,
        /// The number of attempts that failed.
        failures: u32,
        /// Where the next attempt resumes.
        checkpoint: Option<Box<str>>,
    },
    /// An attempt is open at a worker.
    Open {
        /// The attempt's number.
        number: u32,
        /// The number of earlier attempts that failed.
        failures: u32,
        /// Where the attempt resumed.
        checkpoint: Option<Box<str>>,
        /// The worker.
        worker: WorkerId,
    },
    /// The task's result stands.
    Done,
    /// The task ended without a result.
    Ended,
}

/// An accepted run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The offset of the accepted submission.
    pub offset: Offset,
    /// What the run asks for.
    pub spec: Box<RunSpec>,
    /// Its tasks by index.
    pub tasks: Vec<TaskState>,
    /// The number of tasks whose result stands.
    pub done: u32,
    /// How far the run has come.
    pub status: RunStatus,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
    /// Why the run failed.
    pub cause: Option<Box<str>>,
}
