use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::AttemptHistory;
use super::BaselineLatency;
use super::ColocatedAttempt;
use super::InterferenceController;
use super::ServiceSample;
use crate::placement::JobKey;

/// Evicts the newest attempt on a worker whose service is slow.
///
/// The next eviction on the worker waits for a sample measured after the previous one.
#[derive(Clone, Debug)]
pub struct LastInFirstOut {
    excess_max: f64,
    history: AttemptHistory,
    baseline: BaselineLatency,
    slow_workers: BTreeSet<WorkerId>,
    acted_at_ms: BTreeMap<WorkerId, u64>,
}

impl LastInFirstOut {
    /// Creates a controller that evicts when a service's latency exceeds its baseline by more than
    /// `excess_max`, as a fraction of the baseline.
    pub fn new(excess_max: f64) -> Self {
        Self {
            excess_max,
            history: AttemptHistory::default(),
            baseline: BaselineLatency::default(),
            slow_workers: BTreeSet::new(),
            acted_at_ms: BTreeMap::new(),
        }
    }
}

impl InterferenceController for LastInFirstOut {
    fn record_start(&mut self, worker: &WorkerId, started: ColocatedAttempt) {
        self.history.add(worker, started);
    }

    fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        self.history.record_end(worker, attempt, now_ms);
    }

    fn record_action(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        kind: ActionKind,
        now_ms: u64,
    ) {
        self.history.record_action(worker, attempt, kind, now_ms);
    }

    fn record_usage(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        self.history.set_share(worker, attempt, share);
    }

    fn remove_worker(&mut self, worker: &WorkerId) {
        self.history.remove_worker(worker);
        self.slow_workers.remove(worker);
        self.acted_at_ms.remove(worker);
    }

    fn record_sample(&mut self, sample: &ServiceSample) {
        let acted_at_ms = self.acted_at_ms.get(&sample.worker);
        let is_new = acted_at_ms.is_none_or(|at_ms| sample.measured_at_ms > *at_ms);
        if self.baseline.measure_excess(sample) > self.excess_max && is_new {
            self.slow_workers.insert(sample.worker.clone());
        }
    }

    fn next_actions(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for worker in std::mem::take(&mut self.slow_workers) {
            let running = self.history.running(&worker);
            let Some(newest) = running.max_by_key(|attempt| attempt.started_at_ms) else {
                continue;
            };
            actions.push(Action {
                attempt: newest.attempt.clone(),
                worker: worker.clone(),
                kind: ActionKind::Evict,
            });
            self.acted_at_ms.insert(worker, now_ms);
        }
        actions
    }

    fn allows(&self, _worker: &WorkerId, _job: &JobKey, _share: f64) -> bool {
        true
    }
}
