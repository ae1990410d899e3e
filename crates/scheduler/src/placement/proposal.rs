use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// A start that the policy would record next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker.
    pub worker: WorkerId,
    /// What is reserved for it.
    pub size: Resources,
}
