use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::ColocatedAttempt;
use super::ServiceSample;
use crate::placement::JobKey;

/// Protects services from interference by colocated batch work.
///
/// All times are in milliseconds of the same monotonic clock.
pub trait InterferenceController: Send + Sync {
    /// Records that an attempt started on a worker.
    fn record_start(&mut self, worker: &WorkerId, started: ColocatedAttempt);

    /// Records that an attempt ended, for any reason.
    fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64);

    /// Records that an action was carried out.
    fn record_action(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        kind: ActionKind,
        now_ms: u64,
    );

    /// Records the share of the worker's processors that an attempt uses, from 0 to 1.
    fn record_usage(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64);

    /// Drops all data about a worker that was removed permanently.
    fn remove_worker(&mut self, worker: &WorkerId);

    /// Records a measurement of a service.
    fn record_sample(&mut self, sample: &ServiceSample);

    /// Returns the actions to carry out now; each new measurement is evaluated once.
    fn next_actions(&mut self, now_ms: u64) -> Vec<Action>;

    /// Returns whether one more attempt of the job may run on the worker with a processor share
    /// from 0 to 1.
    fn allows(&self, worker: &WorkerId, job: &JobKey, share: f64) -> bool;
}
