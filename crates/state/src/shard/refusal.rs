use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Reason why the fold refused a record of a shard's stream. Every process derives the same reason.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShardRefusal {
    /// The record can't be decoded.
    Malformed,
    /// The owner's sequence number was already applied.
    Repeated,
    /// The record's epoch is not the current one or, for a claim, not the next one.
    StaleEpoch,
    /// The writer does not own the shard.
    NotOwner,
    /// The run was never accepted or has been pruned.
    UnknownRun,
    /// No inventory of the worker has been recorded.
    UnknownWorker,
    /// The run id already belongs to a run of another job.
    RunIdTaken,
    /// The run id belonged to a run that has been pruned.
    RunPruned,
    /// The run would exceed the shard's limit of unfinished tasks.
    ShardFull,
    /// The inventory is of an earlier incarnation of the worker than the current one.
    StaleIncarnation,
    /// The worker is quarantined and already runs a probe.
    Quarantined,
    /// The run has already ended.
    RunEnded,
    /// The attempt is not the task's next one, or the task is not waiting.
    NotNextAttempt,
    /// The worker's capacity would be exceeded.
    WorkerFull,
    /// The run has attempts that may still count, so it can't move.
    AttemptsOpen,
    /// The attempt is neither open nor declared lost.
    NotOpen,
}

impl fmt::Display for ShardRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        f.write_str(name)
    }
}

impl Error for ShardRefusal {}
