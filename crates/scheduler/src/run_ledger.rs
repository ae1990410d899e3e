use std::collections::BTreeMap;

use async_trait::async_trait;
use dotterelhook_state::shard::LedgerLine;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::ShardId;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What a shard's task is asked by submitters and operators.
pub enum ShardCommand {
    /// Accept a run; answered when its record was read back.
    Submit {
        /// The run, named by its submitter.
        run: RunId,
        /// What it asks for.
        spec: Box<RunSpec>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// Cancel a run; answered when its record was read back.
    Cancel {
        /// The run.
        run: RunId,
        /// The run's team.
        team: TeamName,
        /// The run's job.
        job: JobName,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// List the shard's runs.
    Ledger {
        /// Where the answer goes.
        reply: oneshot::Sender<Vec<LedgerLine>>,
    },
}

/// Why a run was not accepted or cancelled here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// This process does not own the shard.
    NotOwner,
    /// The fold refused the record.
    Refused(ShardRefusal),
    /// No worker of the shard can ever take a task; it says why.
    NeverRuns(Box<str>),
    /// The log does not answer, or too much waits to be recorded; nothing was recorded.
    Busy,
    /// The record may stand in the log.
    Unknown,
}

/// Read access to the runs of the shards that this process owns.
#[async_trait]
pub trait RunLedger: Send + Sync {
    /// Returns a line for each run.
    async fn ledger(&self) -> Vec<LedgerLine>;
}

/// The shards of this process's failure domain by id.
#[derive(Clone, Default)]
pub(crate) struct Shards {
    senders: BTreeMap<ShardId, mpsc::Sender<ShardCommand>>,
}

impl Shards {
    /// Adds a shard's command channel.
    pub(crate) fn add(&mut self, shard: ShardId, sender: mpsc::Sender<ShardCommand>) {
        self.senders.insert(shard, sender);
    }

    /// Returns the command channel of a shard.
    pub(crate) fn sender(&self, shard: &ShardId) -> Option<&mpsc::Sender<ShardCommand>> {
        self.senders.get(shard)
    }
}

#[async_trait]
impl RunLedger for Shards {
    async fn ledger(&self) -> Vec<LedgerLine> {
        let mut lines = Vec::new();
        for sender in self.senders.values() {
            let (reply, answer) = oneshot::channel();
            if sender.send(ShardCommand::Ledger { reply }).await.is_ok() {
                lines.extend(answer.await.unwrap_or_default());
            }
        }
        lines
    }
}
