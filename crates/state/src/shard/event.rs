use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use crate::config::BatchJob;

/// One record of a shard's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The host that appended the record.
    #[serde(rename = "h")]
    pub host: HostId,
    /// The incarnation of the process that appended the record.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The process's own count, used to drop repeats.
    #[serde(rename = "n")]
    pub sequence: Sequence,
    /// The epoch under which the record was written.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// What the record says.
    #[serde(rename = "v")]
    pub event: ShardEvent,
}

/// What a submitted run asks for, fixed at submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSpec {
    /// The submitting team.
    pub team: TeamName,
    /// The job's name.
    pub job: JobName,
    /// The job as it stood at submission.
    pub settings: BatchJob,
    /// The deadline as Unix time.
    pub deadline_at_unix_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The task is done.
    Succeeded,
    /// The task failed at the worker.
    Failed {
        /// What the worker said.
        cause: Box<str>,
    },
    /// The task was stopped to make room and resumes from the checkpoint.
    Evicted {
        /// The checkpoint; absent if the task starts anew.
        checkpoint: Option<Box<str>>,
    },
    /// The worker restarted, or the lease lapsed beyond doubt.
    Lost,
    /// The run was cancelled.
    Cancelled,
}

/// What happened in a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShardEvent {
    /// The writer takes the shard over; the record's epoch is the new one.
    Claim,
    /// The owner gives the shard up.
    Release,
    /// The owner read a worker's inventory; attempts of an earlier incarnation are lost.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// What the worker has.
        capacity: Resources,
    },
    /// A run was submitted.
    Submit {
        /// The run, named by its submitter.
        run: RunId,
        /// What it asks for.
        spec: Box<RunSpec>,
    },
    /// An attempt may start at a worker.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// What is reserved for it.
        size: Resources,
    },
    /// An attempt has ended with certainty.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A run is cancelled.
    Cancel {
        /// The run.
        run: RunId,
    },
    /// A run can never complete.
    Fail {
        /// The run.
        run: RunId,
        /// Why it can't complete.
        cause: Box<str>,
    },
    /// A run passed its deadline.
    Overdue {
        /// The run.
        run: RunId,
    },
}
