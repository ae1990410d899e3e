use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::InterferenceController;
use super::QuietLatency;
use super::Resident;
use super::ResidentLog;
use super::ServiceSample;
use super::Step;
use crate::placement::JobKey;

/// Evicts the youngest attempt of a worker whose service is slow, one for each lag.
#[derive(Clone, Debug)]
pub struct LastInFirstOut {
    excess_max: f64,
    log: ResidentLog,
    quiet: QuietLatency,
    slow: BTreeSet<WorkerId>,
    acted_at_ms: BTreeMap<WorkerId, u64>,
}

impl LastInFirstOut {
    /// Acts when a service's latency exceeds its quiet one by the share `excess_max`.
    pub fn new(excess_max: f64) -> Self {
        Self {
            excess_max,
            log: ResidentLog::default(),
            quiet: QuietLatency::default(),
            slow: BTreeSet::new(),
            acted_at_ms: BTreeMap::new(),
        }
    }
}

impl InterferenceController for LastInFirstOut {
    fn started(&mut self, worker: &WorkerId, resident: Resident) {
        self.log.start(worker, resident);
    }

    fn ended(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        self.log.end(worker, attempt, now_ms);
    }

    fn stepped(&mut self, worker: &WorkerId, attempt: &AttemptId, step: Step, now_ms: u64) {
        self.log.step(worker, attempt, step, now_ms);
    }

    fn used(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        self.log.set_share(worker, attempt, share);
    }

    fn forget_worker(&mut self, worker: &WorkerId) {
        self.log.forget(worker);
        self.slow.remove(worker);
        self.acted_at_ms.remove(worker);
    }

    fn measured(&mut self, sample: &ServiceSample) {
        let acted_at_ms = self.acted_at_ms.get(&sample.worker);
        let is_new = acted_at_ms.is_none_or(|at_ms| sample.measured_at_ms > *at_ms);
        if self.quiet.excess(sample) > self.excess_max && is_new {
            self.slow.insert(sample.worker.clone());
        }
    }

    fn act(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for worker in std::mem::take(&mut self.slow) {
            let running = self.log.running(&worker);
            let Some(youngest) = running.max_by_key(|resident| resident.started_at_ms) else {
                continue;
            };
            actions.push(Action {
                attempt: youngest.attempt.clone(),
                worker: worker.clone(),
                step: Step::Evict,
            });
            self.acted_at_ms.insert(worker, now_ms);
        }
        actions
    }

    fn allows(&self, _worker: &WorkerId, _job: &JobKey, _share: f64) -> bool {
        true
    }
}
