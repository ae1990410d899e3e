use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why the fold refused a record of a shard's stream; the same in every process.
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
    /// The same process's record was already applied.
    Repeated,
    /// The record's epoch is not the current one, or not the next one for a claim.
    StaleEpoch,
    /// The writer does not own the shard.
    NotOwner,
    /// The run is unknown.
    UnknownRun,
    /// The worker is unknown.
    UnknownWorker,
    /// The run id was used before for another job.
    RunIdTaken,
    /// The run id was used before, and the run's line is no longer kept.
    RunPruned,
    /// The shard has as many unfinished tasks as it may keep.
    ShardFull,
    /// The worker's record is of an earlier incarnation than the current one.
    StaleIncarnation,
    /// The worker is quarantined and already has a probe.
    Quarantined,
    /// The run has already ended.
    RunEnded,
    /// The attempt is not the task's next one, or an earlier one is open.
    NotNextAttempt,
    /// The worker's capacity would be exceeded.
    WorkerFull,
    /// The attempt is not open.
    NotOpen,
}

impl fmt::Display for ShardRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name: &'static str = self.into();
        f.write_str(name)
    }
}

impl Error for ShardRefusal {}
