use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::InterferenceController;
use super::Resident;
use super::ResidentLog;
use super::ServiceSample;
use super::Step;
use crate::placement::JobKey;

/// Keeps batch work below a fixed share of each worker's processors; a larger attempt runs
/// alone.
#[derive(Clone, Debug)]
pub struct StaticReservation {
    share_max: f64,
    log: ResidentLog,
}

impl StaticReservation {
    /// Lets batch work take at most `share_max` of each worker, from 0 to 1.
    pub fn new(share_max: f64) -> Self {
        Self {
            share_max,
            log: ResidentLog::default(),
        }
    }
}

impl InterferenceController for StaticReservation {
    fn started(&mut self, worker: &WorkerId, resident: Resident) {
        self.log.start(worker, resident);
    }

    fn ended(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        self.log.end(worker, attempt, now_ms);
    }

    fn stepped(&mut self, _worker: &WorkerId, _attempt: &AttemptId, _step: Step, _now_ms: u64) {}

    fn used(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        self.log.set_share(worker, attempt, share);
    }

    fn forget_worker(&mut self, worker: &WorkerId) {
        self.log.forget(worker);
    }

    fn measured(&mut self, _sample: &ServiceSample) {}

    fn act(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }

    fn allows(&self, worker: &WorkerId, _job: &JobKey, share: f64) -> bool {
        self.log.share(worker) + share.min(self.share_max) <= self.share_max
    }
}
