use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::WorkerLoad;
use crate::placement::Shortfall;

/// What a choice of victims goes by.
pub struct EvictionContext<'a> {
    /// The urgent tasks without room.
    pub shortfalls: &'a [Shortfall],
    /// What runs on each worker.
    pub loads: &'a [WorkerLoad],
    /// Attempts whose eviction is under way; their room counts as free.
    pub pending: &'a BTreeSet<AttemptId>,
    /// Says which workers may take new work.
    pub is_usable: &'a dyn Fn(&WorkerId) -> bool,
    /// The most victims of this choice.
    pub evictions_max: usize,
}

/// An attempt that is to make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its worker.
    pub worker: WorkerId,
}

/// Chooses which attempts make room for urgent tasks.
pub trait EvictionPolicy: Send + Sync {
    /// Returns the victims; an urgent attempt is never one.
    fn choose(&self, context: &EvictionContext<'_>) -> Vec<Eviction>;
}
