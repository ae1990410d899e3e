use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::FailureDomain;
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

use super::MovedRun;
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
    /// The process's sequence number; records that do not increase it are refused as repeats.
    #[serde(rename = "n")]
    pub sequence: Sequence,
    /// The epoch under which the record was written.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// The recorded event.
    #[serde(rename = "v")]
    pub event: ShardEvent,
}

/// The specification of a submitted run, fixed at submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSpec {
    /// The submitting team.
    pub team: TeamName,
    /// The name of the batch job.
    pub job: JobName,
    /// The job's settings at submission.
    pub settings: BatchJob,
    /// The run's deadline, as Unix time in milliseconds.
    pub deadline_at_unix_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The task succeeded.
    Succeeded,
    /// The task failed on the worker.
    Failed {
        /// The cause reported by the worker.
        cause: Box<str>,
    },
    /// The attempt was stopped to free its resources; the next attempt resumes from the newest
    /// checkpoint.
    Evicted {
        /// The checkpoint written at eviction; absent if there is none, in which case an earlier one
        /// applies.
        checkpoint: Option<Box<str>>,
    },
    /// The worker restarted, or the attempt's lease certainly expired.
    Lost,
    /// The run was cancelled.
    Cancelled,
}

/// An event that changes the state of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ShardEvent {
    /// The writer claims ownership of the shard; the record carries the new epoch.
    Claim,
    /// The owner releases the shard.
    Release,
    /// The owner read a worker's inventory. Attempts opened at an earlier incarnation are lost.
    Worker {
        /// The worker that was read.
        worker: WorkerId,
        /// The worker's incarnation at the time of the read.
        incarnation: Incarnation,
        /// The worker's total resources.
        capacity: Resources,
    },
    /// A run was submitted.
    Submit {
        /// The run's id, chosen by its submitter.
        run: RunId,
        /// The run's specification.
        spec: Box<RunSpec>,
    },
    /// An attempt is opened and may start on a worker.
    Start {
        /// The attempt to start.
        attempt: AttemptId,
        /// The worker that runs the attempt.
        worker: WorkerId,
        /// Resources reserved for the attempt.
        size: Resources,
    },
    /// An attempt has certainly ended, or the end of an attempt that was declared lost is now known.
    End {
        /// The ended attempt.
        attempt: AttemptId,
        /// The way the attempt ended.
        end: AttemptEnd,
    },
    /// A run is cancelled.
    Cancel {
        /// The run to cancel.
        run: RunId,
    },
    /// A run can never complete.
    Fail {
        /// The run to fail.
        run: RunId,
        /// Reason why the run can't complete.
        cause: Box<str>,
    },
    /// An active run without open attempts leaves for a shard of another failure domain.
    Move {
        /// The run that leaves.
        run: RunId,
        /// The failure domain that it leaves for.
        to: FailureDomain,
    },
    /// A run that has left was adopted by the other shard.
    Delivered {
        /// The run.
        run: RunId,
    },
    /// A run that has left another shard is taken over.
    Adopt {
        /// The run with the states of its tasks.
        moved: Box<MovedRun>,
    },
    /// An active run passed its deadline.
    Overdue {
        /// The run to mark as overdue.
        run: RunId,
    },
}
