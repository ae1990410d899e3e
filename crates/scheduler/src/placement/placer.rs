use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardState;

use super::Placement;
use super::PlacementContext;
use super::WorkerLoad;

/// Follows one shard and chooses its next starts.
pub trait Placer: Send {
    /// Forgets all and reads the whole shard.
    fn rebuild(&mut self, state: &ShardState);

    /// Follows one record that the fold has just accepted; `now_unix_ms` is the present time.
    fn observe(&mut self, state: &ShardState, event: &ShardEvent, now_unix_ms: u64);

    /// Returns the next starts; nothing is reserved until their records are observed.
    fn propose(&mut self, context: &PlacementContext<'_>) -> Placement;

    /// Returns what runs on each worker, in order of worker id.
    fn worker_loads(&self) -> Vec<WorkerLoad>;
}
