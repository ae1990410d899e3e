use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::JobKey;

/// Says which workers a batch job had better keep away from.
pub trait ColocationPolicy: Send + Sync {
    /// Returns whether one more task of the job would slow the worker's services too much.
    fn is_avoided(&self, worker: &WorkerId, job: &JobKey, size: &Resources) -> bool;
}

/// Lets each job run beside each service.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnrestrictedColocation;

impl ColocationPolicy for UnrestrictedColocation {
    fn is_avoided(&self, _worker: &WorkerId, _job: &JobKey, _size: &Resources) -> bool {
        false
    }
}
