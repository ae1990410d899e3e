use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::ColocatedAttempt;
use super::ServiceSample;
use crate::placement::JobKey;

/// Protects services from the batch work beside them; all times are of one monotonic clock.
pub trait InterferenceController: Send + Sync {
    /// An attempt has started at a worker.
    fn record_start(&mut self, worker: &WorkerId, resident: ColocatedAttempt);

    /// An attempt has ended, whatever the reason.
    fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64);

    /// A step was carried out.
    fn record_action(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        kind: ActionKind,
        now_ms: u64,
    );

    /// An attempt was seen to take a share of the worker's processors.
    fn record_usage(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64);

    /// A worker is gone for good.
    fn remove_worker(&mut self, worker: &WorkerId);

    /// A measurement has arrived.
    fn record_sample(&mut self, sample: &ServiceSample);

    /// Returns the steps to take now.
    fn next_actions(&mut self, now_ms: u64) -> Vec<Action>;

    /// Returns whether one more attempt that takes the share may run at the worker.
    fn allows(&self, worker: &WorkerId, job: &JobKey, share: f64) -> bool;
}
