use std::collections::BTreeMap;

use async_trait::async_trait;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_state::shard::ShardId;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::relocation::RoomRequest;

/// A request of a submitter or an operator to a shard's task.
pub enum ShardCommand {
    /// Accept a run; answered once its record has been read back from the log.
    Submit {
        /// The run's id, chosen by the submitter; a repeated submission uses the same id.
        run: RunId,
        /// The job's settings and the deadline.
        spec: Box<RunSpec>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<(), RunCommandError>>,
    },
    /// Cancel a run; answered once its record has been read back from the log.
    Cancel {
        /// The run to cancel.
        run: RunId,
        /// The team that the run must belong to.
        team: TeamName,
        /// The job that the run must belong to.
        job: JobName,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<(), RunCommandError>>,
    },
    /// Take over a run that has left another failure domain; answered like a submission.
    Adopt {
        /// The run with the states of its tasks.
        moved: Box<MovedRun>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<(), RunCommandError>>,
    },
    /// Count the tasks that could start now.
    CountRoom {
        /// The team and the size of one task.
        request: RoomRequest,
        /// Receives the number of tasks.
        reply: oneshot::Sender<Result<u64, RunCommandError>>,
    },
    /// List the runs of the shard.
    ListRuns {
        /// Receives the summary of each run.
        reply: oneshot::Sender<Vec<RunSummary>>,
    },
}

/// Why a submission or a cancellation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunCommandError {
    /// This process does not own the shard; the request has no effect.
    NotOwner,
    /// The run has left for this failure domain; the request has no effect here.
    Moved(FailureDomain),
    /// The fold refused the record, or a cancellation names the wrong team or job.
    Refused(ShardRefusal),
    /// No worker of the shard has the capacity for one task; carries the reason.
    NeverRunnable(Box<str>),
    /// The log does not answer, or the queue of unrecorded requests is full; nothing was recorded.
    Unavailable,
    /// No answer came in time; the record may have been appended to the log.
    OutcomeUnknown,
}

/// Lists the runs of the failure domain's shards, as far as this process has read their streams.
#[async_trait]
pub trait RunLister: Send + Sync {
    /// Returns the summary of each run.
    async fn list_runs(&self) -> Vec<RunSummary>;
}

/// Command channels of the failure domain's shards, by shard id.
#[derive(Clone, Default)]
pub(crate) struct ShardChannels {
    senders: BTreeMap<ShardId, mpsc::Sender<ShardCommand>>,
}

impl ShardChannels {
    pub(crate) fn add(&mut self, shard: ShardId, sender: mpsc::Sender<ShardCommand>) {
        self.senders.insert(shard, sender);
    }

    pub(crate) fn sender(&self, shard: &ShardId) -> Option<&mpsc::Sender<ShardCommand>> {
        self.senders.get(shard)
    }
}

#[async_trait]
impl RunLister for ShardChannels {
    async fn list_runs(&self) -> Vec<RunSummary> {
        let mut summaries = Vec::new();
        for sender in self.senders.values() {
            let (reply, answer) = oneshot::channel();
            if sender.send(ShardCommand::ListRuns { reply }).await.is_ok() {
                summaries.extend(answer.await.unwrap_or_default());
            }
        }
        summaries
    }
}
