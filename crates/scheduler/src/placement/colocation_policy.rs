use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::JobKey;

/// Decides which workers a batch job avoids because of the services there.
pub trait ColocationPolicy: Send + Sync {
    /// Returns whether one more task of the job would slow down the worker's services too much.
    fn is_avoided(&self, worker: &WorkerId, job: &JobKey, size: &Resources) -> bool;
}

/// Allows every job beside every service.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnrestrictedColocation;

impl ColocationPolicy for UnrestrictedColocation {
    fn is_avoided(&self, _worker: &WorkerId, _job: &JobKey, _size: &Resources) -> bool {
        false
    }
}
