use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// A start of an attempt that placement proposes and the shard's owner may record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// The worker that would run the attempt.
    pub worker: WorkerId,
    /// Resources to reserve for the attempt.
    pub size: Resources,
}
