use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::AttemptHistory;
use super::ColocatedAttempt;
use super::InterferenceController;
use super::ServiceSample;
use crate::placement::JobKey;

/// Limits batch work to a fixed share of each worker's processors.
///
/// An attempt larger than that share runs without other batch work on its worker.
#[derive(Clone, Debug)]
pub struct StaticReservation {
    share_max: f64,
    history: AttemptHistory,
}

impl StaticReservation {
    /// Creates a controller that allows batch work at most `share_max` of each worker's processors,
    /// from 0 to 1.
    pub fn new(share_max: f64) -> Self {
        Self {
            share_max,
            history: AttemptHistory::default(),
        }
    }
}

impl InterferenceController for StaticReservation {
    fn record_start(&mut self, worker: &WorkerId, started: ColocatedAttempt) {
        self.history.add(worker, started);
    }

    fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        self.history.record_end(worker, attempt, now_ms);
    }

    fn record_action(
        &mut self,
        _worker: &WorkerId,
        _attempt: &AttemptId,
        _kind: ActionKind,
        _now_ms: u64,
    ) {
    }

    fn record_usage(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        self.history.set_share(worker, attempt, share);
    }

    fn remove_worker(&mut self, worker: &WorkerId) {
        self.history.remove_worker(worker);
    }

    fn record_sample(&mut self, _sample: &ServiceSample) {}

    fn next_actions(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }

    fn allows(&self, worker: &WorkerId, _job: &JobKey, share: f64) -> bool {
        self.history.running_share(worker) + share.min(self.share_max) <= self.share_max
    }
}
