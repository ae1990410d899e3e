use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// What a worker has and what the open attempts take of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAccount {
    /// The worker's incarnation at the last recorded inventory.
    pub incarnation: Incarnation,
    /// What the worker has.
    pub capacity: Resources,
    /// The sum over its open attempts.
    pub used: Resources,
}

impl WorkerAccount {
    /// Returns what is left for new attempts.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }
}
