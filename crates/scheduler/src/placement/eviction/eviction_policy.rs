use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::WorkerLoad;
use crate::placement::Shortfall;

/// Inputs for the choice of victims.
pub struct EvictionContext<'a> {
    /// Urgent tasks for which no worker has room.
    pub shortfalls: &'a [Shortfall],
    /// Free resources and open attempts of each worker.
    pub loads: &'a [WorkerLoad],
    /// Attempts with an eviction in progress; their resources count as free.
    pub pending: &'a BTreeSet<AttemptId>,
    /// Whether a worker may receive new tasks.
    pub is_usable: &'a dyn Fn(&WorkerId) -> bool,
    /// Maximum number of victims.
    pub evictions_max: usize,
}

/// An attempt to evict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The attempt to stop.
    pub attempt: AttemptId,
    /// The worker that runs the attempt.
    pub worker: WorkerId,
}

/// Chooses attempts to evict for urgent tasks.
pub trait EvictionPolicy: Send + Sync {
    /// Returns the victims; urgent attempts are never chosen.
    fn choose(&self, context: &EvictionContext<'_>) -> Vec<Eviction>;
}
