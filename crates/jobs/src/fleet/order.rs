use crate::model::RunNumber;
use crate::model::TaskId;

/// An order that a session sends to its executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a run.
    Start(TaskId, RunNumber),
    /// Stops a run; a start that arrives later is refused.
    Stop(TaskId, RunNumber),
    /// Sets the share of its full speed at which a run may work, in percent.
    Pace(TaskId, RunNumber, u32),
}
