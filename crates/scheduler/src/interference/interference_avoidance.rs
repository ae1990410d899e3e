use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::InterferenceController;
use crate::placement::ColocationPolicy;
use crate::placement::JobKey;

/// Applies an interference controller's decisions to placement.
///
/// Sizes are converted to shares of the workers' recorded processor capacity.
#[derive(Clone, Copy)]
pub struct InterferenceAvoidance<'a> {
    /// The controller that decides.
    pub controller: &'a dyn InterferenceController,
    /// The shard whose worker capacities are used.
    pub state: &'a ShardState,
}

impl ColocationPolicy for InterferenceAvoidance<'_> {
    fn is_avoided(&self, worker: &WorkerId, job: &JobKey, size: &Resources) -> bool {
        let Some(worker_state) = self.state.workers().get(worker) else {
            return false;
        };
        let capacity_milli = worker_state.capacity.cpu_milli.0.max(1) as f64;
        let share = size.cpu_milli.0 as f64 / capacity_milli;
        !self.controller.allows(worker, job, share)
    }
}
