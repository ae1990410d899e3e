use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardState;

use super::Placement;
use super::PlacementContext;
use super::WorkerLoad;

/// Tracks the state of one shard and proposes its next starts.
pub trait Placer: Send {
    /// Discards the tracked state and rebuilds it from the whole shard.
    fn rebuild(&mut self, state: &ShardState);

    /// Updates the tracked state by one record that the fold accepted.
    ///
    /// `state` includes the record; `now_unix_ms` is the current Unix time in milliseconds.
    fn observe(&mut self, state: &ShardState, event: &ShardEvent, now_unix_ms: u64);

    /// Returns the next starts; resources are reserved only when the records of the starts are
    /// observed.
    fn propose(&mut self, context: &PlacementContext<'_>) -> Placement;

    /// Returns the open attempts and free resources of each worker, ordered by worker id.
    fn worker_loads(&self) -> Vec<WorkerLoad>;
}
