use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::Resident;
use super::ServiceSample;
use super::Step;
use crate::placement::JobKey;

/// Protects services from the batch work beside them; all times are of one monotonic clock.
pub trait InterferenceController: Send + Sync {
    /// An attempt has started at a worker.
    fn started(&mut self, worker: &WorkerId, resident: Resident);

    /// An attempt has ended, whatever the reason.
    fn ended(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64);

    /// A step was carried out.
    fn stepped(&mut self, worker: &WorkerId, attempt: &AttemptId, step: Step, now_ms: u64);

    /// An attempt was seen to take a share of the worker's processors.
    fn used(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64);

    /// A worker is gone for good.
    fn forget_worker(&mut self, worker: &WorkerId);

    /// A measurement has arrived.
    fn measured(&mut self, sample: &ServiceSample);

    /// Returns the steps to take now.
    fn act(&mut self, now_ms: u64) -> Vec<Action>;

    /// Returns whether one more attempt that takes the share may run at the worker.
    fn allows(&self, worker: &WorkerId, job: &JobKey, share: f64) -> bool;
}
