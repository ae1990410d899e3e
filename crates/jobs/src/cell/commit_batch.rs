use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::platform::KeyedRecord;

/// What may happen once the records that it rests on are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A run is started.
    Start {
        /// Where.
        executor: ExecutorKey,
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// An executor may forget its ends up to a number.
    AckEnds {
        /// The executor's life.
        executor: ExecutorKey,
        /// The number.
        end: u64,
    },
}

/// A job as one of the records of a batch has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShownJob {
    pub(super) id: JobId,
    pub(super) state: JobState,
    /// Whether the record is the job's last one.
    pub(super) is_finished: bool,
}

/// Records that are stored together, and what follows from it.
#[derive(Debug, Default)]
pub struct CommitBatch {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// What clients may be told afterwards.
    pub(super) shown: Vec<ShownJob>,
    /// What may happen afterwards.
    pub(super) effects: Vec<Effect>,
}
