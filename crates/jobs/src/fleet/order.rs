use crate::model::RunNumber;
use crate::model::TaskId;

/// What an executor's session is asked to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(TaskId, RunNumber),
    /// Stop a run, or refuse it if it comes later.
    Stop(TaskId, RunNumber),
    /// Let a run work at a share of its speed, in percent.
    Pace(TaskId, RunNumber, u32),
}
