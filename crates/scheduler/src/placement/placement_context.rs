use dotterelhook_types::ids::WorkerId;

use super::ColocationPolicy;
use super::LongWait;
use super::NeverRunnable;
use super::Proposal;
use super::Shortfall;
use super::SizeEstimator;
use crate::quota::QuotaView;

/// Inputs of one placement round.
pub struct PlacementContext<'a> {
    /// Resource limits of teams.
    pub quotas: &'a dyn QuotaView,
    /// Sizes to reserve for tasks.
    pub sizes: &'a dyn SizeEstimator,
    /// Workers that a job avoids.
    pub colocation: &'a dyn ColocationPolicy,
    /// Whether a worker may receive new tasks; false for workers that leave, are silent, cool off
    /// after a failure or already run the probe of a quarantine.
    pub is_usable: &'a dyn Fn(&WorkerId) -> bool,
    /// Whether a worker is quarantined; as a probe, such a worker receives at most one start in a
    /// round.
    pub is_quarantined: &'a dyn Fn(&WorkerId) -> bool,
    /// Whether the inventory of every listed worker was recorded. Until then, no run is reported as
    /// never runnable for lack of a large enough worker.
    pub has_all_inventories: bool,
    /// Current Unix time in milliseconds.
    pub now_unix_ms: u64,
    /// Maximum number of starts in the round.
    pub starts_max: usize,
}

/// Result of one placement round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Proposed starts in placement order; all of them fit at the same time.
    pub starts: Vec<Proposal>,
    /// Runs that can never run; at most the 100 oldest.
    pub never_runnable: Vec<NeverRunnable>,
    /// Runs without a start for the long-wait period; at most the 100 that waited longest.
    pub long_waits: Vec<LongWait>,
    /// Number of all runs without a start for the long-wait period, listed or not.
    pub long_wait_count: usize,
    /// Urgent tasks for which no worker has room.
    pub shortfalls: Vec<Shortfall>,
}
