use dotterelhook_state::shard::ShardState;
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

/// Chooses the next starts.
pub trait PlacementPolicy: Send + Sync {
    /// Returns up to `starts_max` starts that fit together; `usable` says which workers
    /// may take new work.
    fn propose(
        &self,
        state: &ShardState,
        usable: &dyn Fn(&WorkerId) -> bool,
        starts_max: usize,
    ) -> Vec<Proposal>;
}
