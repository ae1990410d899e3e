use dotterelhook_types::ids::WorkerId;

use super::ColocationPolicy;
use super::LongWait;
use super::NeverRunnable;
use super::Proposal;
use super::Shortfall;
use super::SizeEstimator;
use crate::quota::QuotaView;

/// What one round of placement goes by.
pub struct PlacementContext<'a> {
    /// What each team may take at once.
    pub quotas: &'a dyn QuotaView,
    /// How much is reserved for a task.
    pub sizes: &'a dyn SizeEstimator,
    /// Which workers a job keeps away from.
    pub colocation: &'a dyn ColocationPolicy,
    /// Says which workers may take new work; quarantined and leaving ones may not.
    pub is_usable: &'a dyn Fn(&WorkerId) -> bool,
    /// Says which workers take one start in a round; quarantined ones that are probed do.
    pub is_probed: &'a dyn Fn(&WorkerId) -> bool,
    /// Whether the inventory of every listed worker was recorded; before, no run is called
    /// never runnable.
    pub has_all_inventories: bool,
    /// The present time.
    pub now_unix_ms: u64,
    /// The most starts of the round.
    pub starts_max: usize,
}

/// The outcome of one round of placement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// The starts, in order; they fit together.
    pub starts: Vec<Proposal>,
    /// Runs that can never run; the oldest 100.
    pub never_runnable: Vec<NeverRunnable>,
    /// Runs that have started nothing for long; the oldest 100.
    pub long_waits: Vec<LongWait>,
    /// The number of runs that have started nothing for long, listed or not.
    pub long_wait_count: usize,
    /// Urgent tasks without room.
    pub shortfalls: Vec<Shortfall>,
}
