use std::collections::BTreeMap;

use dotterelhook_types::ids::RunId;
use tokio::sync::oneshot;

use crate::run_commands::RunCommandError;

/// Channel for the outcome of a submission or cancellation.
pub(super) type Reply = oneshot::Sender<Result<(), RunCommandError>>;

/// The kind of a request that waits for its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestKind {
    /// Accept a run.
    Submit,
    /// Cancel a run.
    Cancel,
    /// Take over a run from another failure domain.
    Adopt,
}

/// Reply channels of requests whose records have not been read back yet.
#[derive(Default)]
pub(super) struct PendingReplies {
    replies: BTreeMap<(RunId, RequestKind), Vec<Reply>>,
}

impl PendingReplies {
    /// Adds a reply channel; returns whether it is the only one for this request.
    pub(super) fn add(&mut self, run: &RunId, kind: RequestKind, reply: Reply) -> bool {
        let replies = self.replies.entry((run.clone(), kind)).or_default();
        replies.retain(|reply| !reply.is_closed());
        replies.push(reply);
        replies.len() == 1
    }

    /// Answers all requesters of one kind for a run.
    pub(super) fn answer(
        &mut self,
        run: &RunId,
        kind: RequestKind,
        result: &Result<(), RunCommandError>,
    ) {
        let replies = self.replies.remove(&(run.clone(), kind));
        for reply in replies.into_iter().flatten() {
            let _ = reply.send(result.clone());
        }
    }

    /// Answers every pending request.
    pub(super) fn answer_all(&mut self, result: &Result<(), RunCommandError>) {
        for reply in std::mem::take(&mut self.replies).into_values().flatten() {
            let _ = reply.send(result.clone());
        }
    }
}
