use std::collections::BTreeMap;

use dotterelhook_types::ids::RunId;
use tokio::sync::oneshot;

use crate::run_ledger::SubmitError;

/// Where the answer to a submission or cancellation goes.
pub(super) type Reply = oneshot::Sender<Result<(), SubmitError>>;

/// What a waiter asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Asked {
    /// To accept a run.
    Submit,
    /// To cancel a run.
    Cancel,
}

/// Submitters and cancellers who wait for their record to be read back.
#[derive(Default)]
pub(super) struct Waiters {
    replies: BTreeMap<(RunId, Asked), Vec<Reply>>,
}

impl Waiters {
    /// Adds a waiter; returns whether it is the first one that asks for this.
    pub(super) fn add(&mut self, run: &RunId, asked: Asked, reply: Reply) -> bool {
        let replies = self.replies.entry((run.clone(), asked)).or_default();
        replies.retain(|reply| !reply.is_closed());
        replies.push(reply);
        replies.len() == 1
    }

    /// Answers all who asked for this.
    pub(super) fn answer(&mut self, run: &RunId, asked: Asked, result: &Result<(), SubmitError>) {
        let replies = self.replies.remove(&(run.clone(), asked));
        for reply in replies.into_iter().flatten() {
            let _ = reply.send(result.clone());
        }
    }

    /// Answers all.
    pub(super) fn answer_all(&mut self, result: &Result<(), SubmitError>) {
        for reply in std::mem::take(&mut self.replies).into_values().flatten() {
            let _ = reply.send(result.clone());
        }
    }
}
