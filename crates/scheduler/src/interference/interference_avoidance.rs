use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::InterferenceController;
use crate::placement::ColocationPolicy;
use crate::placement::JobKey;

/// Lets placement ask a controller; shares are of the workers' recorded capacity.
#[derive(Clone, Copy)]
pub struct InterferenceAvoidance<'a> {
    /// The controller.
    pub controller: &'a dyn InterferenceController,
    /// The shard whose workers are asked about.
    pub state: &'a ShardState,
}

impl ColocationPolicy for InterferenceAvoidance<'_> {
    fn is_avoided(&self, worker: &WorkerId, job: &JobKey, size: &Resources) -> bool {
        let Some(account) = self.state.workers().get(worker) else {
            return false;
        };
        let whole = account.capacity.cpu_milli.0.max(1) as f64;
        let share = size.cpu_milli.0 as f64 / whole;
        !self.controller.allows(worker, job, share)
    }
}
