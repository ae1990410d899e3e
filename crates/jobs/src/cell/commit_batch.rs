use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::platform::KeyedRecord;

/// An action that takes place once the records that it depends on are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the start of a run to its executor.
    Start {
        /// The incarnation that the run is placed on.
        executor: ExecutorKey,
        /// The task to start.
        task: TaskId,
        /// The number of the run.
        run: RunNumber,
    },
    /// Acknowledge the ended runs of an executor, which may then discard them.
    AckEnds {
        /// The incarnation that reported the ends.
        executor: ExecutorKey,
        /// The number of the last acknowledged end.
        end: u64,
    },
}

/// The state of a job in the progress record of a batch.
#[derive(Clone, Copy, Debug)]
pub(super) struct PublishedJob {
    pub(super) id: JobId,
    pub(super) state: JobState,
    /// Whether the record is the job's last one.
    pub(super) is_finished: bool,
}

/// Records that are stored in one append, and the effects that depend on them.
#[derive(Debug, Default)]
pub struct CommitBatch {
    /// The records; an empty value deletes the key.
    pub records: Vec<KeyedRecord>,
    /// The job states that clients may see once the records are stored.
    pub(super) published: Vec<PublishedJob>,
    /// The actions that take place once the records are stored.
    pub(super) effects: Vec<Effect>,
}
