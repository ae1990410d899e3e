use std::collections::BTreeMap;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;

use super::Action;
use super::ActionKind;
use super::AttemptHistory;
use super::BaselineLatency;
use super::ColocatedAttempt;
use super::InterferenceController;
use super::LearnedPairsSettings;
use super::PairKey;
use super::PairTable;
use super::ServiceSample;
use crate::placement::JobKey;

/// Processor share of a released attempt relative to its throttled share.
const RELEASED_SHARE_RATIO: f64 = 2.0;
/// Predicted excess of one attempt up to which placement ignores the attempt.
const NEGLIGIBLE_EXCESS_MAX: f64 = 0.005;
/// Predicted excess below which a sample counts as a measurement of the service alone.
const ALONE_EXCESS_MAX: f64 = 0.02;
/// Weight of one sample in the running mean of a service's bias.
const BIAS_RATE: f64 = 0.01;
/// Weight of the newest sample in the moving average of the excess.
const EXCESS_SMOOTHING: f64 = 0.5;

/// The latest measurement of the service on a worker.
#[derive(Clone, Debug)]
struct ServiceStatus {
    service: ServiceName,
    measured_at_ms: u64,
    excess: f64,
    load: f64,
    acted_at_ms: u64,
    has_new_sample: bool,
}

/// Learns a weight for each pair of service and job, and controls interference by these weights.
///
/// While a service is slow, the attempt with the highest predicted excess is throttled, then
/// evicted; among equals, the newest. Placement keeps apart pairs whose predicted excess is too
/// high.
#[derive(Clone, Debug)]
pub struct LearnedPairs {
    settings: LearnedPairsSettings,
    history: AttemptHistory,
    baseline: BaselineLatency,
    table: PairTable<PairKey>,
    /// Mean excess of each service with little batch work beside it.
    biases: BTreeMap<ServiceName, f64>,
    statuses: BTreeMap<WorkerId, ServiceStatus>,
    /// Running attempts whose pair had too few samples at their start.
    trials: BTreeMap<AttemptId, PairKey>,
    now_ms: u64,
}

impl LearnedPairs {
    /// Creates a controller with an empty table.
    pub fn new(settings: LearnedPairsSettings) -> Self {
        Self {
            settings,
            history: AttemptHistory::default(),
            baseline: BaselineLatency::default(),
            table: PairTable::new(settings.pairs_max, settings.half_life_ms),
            biases: BTreeMap::new(),
            statuses: BTreeMap::new(),
            trials: BTreeMap::new(),
            now_ms: 0,
        }
    }

    /// Returns the learned weights.
    pub fn table(&self) -> &PairTable<PairKey> {
        &self.table
    }

    fn pair_key(&self, status: &ServiceStatus, job: &JobKey) -> PairKey {
        PairKey {
            service: status.service.clone(),
            job: job.clone(),
        }
    }

    /// Returns the excess that one attempt causes at the service's current load, predicted by the
    /// weight of its pair.
    fn predicted_excess(&self, status: &ServiceStatus, attempt: &ColocatedAttempt) -> f64 {
        let weight = self
            .table
            .weight(&self.pair_key(status, &attempt.job), self.now_ms);
        weight * attempt.share * status.load
    }

    /// Updates the weights and the service's bias with a sample.
    ///
    /// Returns the excess without the service's bias.
    fn learn(&mut self, sample: &ServiceSample, raw_excess: f64) -> f64 {
        let mut shares: BTreeMap<PairKey, f64> = BTreeMap::new();
        for attempt in self.history.ran_at(&sample.worker, sample.measured_at_ms) {
            let pair = PairKey {
                service: sample.service.clone(),
                job: attempt.job.clone(),
            };
            *shares.entry(pair).or_default() += attempt.share * sample.load;
        }
        let shares: Vec<(PairKey, f64)> = shares.into_iter().collect();
        let now_ms = sample.measured_at_ms;
        let predicted = shares
            .iter()
            .map(|(pair, share)| self.table.weight(pair, now_ms) * share);
        let is_alone = predicted.sum::<f64>() < ALONE_EXCESS_MAX;
        let is_new = !self.biases.contains_key(&sample.service);
        if is_new && self.biases.len() >= self.settings.pairs_max {
            self.biases.pop_first();
        }
        let bias = self.biases.entry(sample.service.clone()).or_default();
        let excess = raw_excess - *bias;
        if is_alone {
            *bias += BIAS_RATE * excess;
        }
        self.table.learn(&shares, excess, now_ms);
        excess
    }

    /// Returns the next action on a worker that was measured after its previous action.
    fn choose_action(&self, worker: &WorkerId, status: &ServiceStatus) -> Option<Action> {
        if status.excess > self.settings.excess_max {
            return self.choose_suspect(worker, status);
        }
        self.choose_release(worker, status)
    }

    fn choose_suspect(&self, worker: &WorkerId, status: &ServiceStatus) -> Option<Action> {
        let had_started =
            |attempt: &&ColocatedAttempt| attempt.started_at_ms <= status.measured_at_ms;
        let suspects = self.history.running(worker).filter(had_started);
        let attributed = suspects.map(|attempt| (self.predicted_excess(status, attempt), attempt));
        let by_excess_then_start = |a: &(f64, &ColocatedAttempt), b: &(f64, &ColocatedAttempt)| {
            let by_excess = a.0.total_cmp(&b.0);
            by_excess.then(a.1.started_at_ms.cmp(&b.1.started_at_ms))
        };
        let (predicted, suspect) = attributed.max_by(by_excess_then_start)?;
        if predicted < self.settings.attributed_min * status.excess {
            return None;
        }
        let kind = match suspect.last_action {
            ActionKind::Release => ActionKind::Throttle,
            ActionKind::Throttle | ActionKind::Evict => ActionKind::Evict,
        };
        Some(Action {
            attempt: suspect.attempt.clone(),
            worker: worker.clone(),
            kind,
        })
    }

    /// Releases the attempt that was throttled first, if the predicted excess stays low enough.
    fn choose_release(&self, worker: &WorkerId, status: &ServiceStatus) -> Option<Action> {
        let throttled = self
            .history
            .running(worker)
            .filter(|attempt| attempt.last_action == ActionKind::Throttle);
        let oldest = throttled.min_by_key(|attempt| attempt.last_action_at_ms)?;
        let added = self.predicted_excess(status, oldest) * RELEASED_SHARE_RATIO;
        (status.excess.max(0.0) + added <= self.settings.placement_excess_max).then(|| Action {
            attempt: oldest.attempt.clone(),
            worker: worker.clone(),
            kind: ActionKind::Release,
        })
    }
}

impl InterferenceController for LearnedPairs {
    fn record_start(&mut self, worker: &WorkerId, started: ColocatedAttempt) {
        if let Some(status) = self.statuses.get(worker) {
            let pair = self.pair_key(status, &started.job);
            if self.table.samples(&pair) < self.settings.trusted_samples_min {
                self.trials.insert(started.attempt.clone(), pair);
            }
        }
        self.history.add(worker, started);
    }

    fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        self.trials.remove(attempt);
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
        for running in self.history.running(worker) {
            self.trials.remove(&running.attempt);
        }
        self.history.remove_worker(worker);
        self.statuses.remove(worker);
    }

    fn record_sample(&mut self, sample: &ServiceSample) {
        let raw_excess = self.baseline.measure_excess(sample);
        let excess = self.learn(sample, raw_excess);
        let new_status = || ServiceStatus {
            service: sample.service.clone(),
            measured_at_ms: 0,
            excess: 0.0,
            load: 0.0,
            acted_at_ms: 0,
            has_new_sample: false,
        };
        let status = self
            .statuses
            .entry(sample.worker.clone())
            .or_insert_with(new_status);
        let is_newer = sample.measured_at_ms > status.measured_at_ms;
        if status.service != sample.service && is_newer {
            *status = ServiceStatus {
                acted_at_ms: status.acted_at_ms,
                ..new_status()
            };
        }
        if sample.measured_at_ms >= status.measured_at_ms {
            let is_first_since_action = status.measured_at_ms <= status.acted_at_ms;
            let before = if is_first_since_action {
                excess
            } else {
                status.excess
            };
            status.excess = before + EXCESS_SMOOTHING * (excess - before);
            status.measured_at_ms = sample.measured_at_ms;
            status.load = sample.load;
            status.has_new_sample = sample.measured_at_ms > status.acted_at_ms;
        }
    }

    fn next_actions(&mut self, now_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        let measured = self
            .statuses
            .iter()
            .filter(|(_, status)| status.has_new_sample);
        let actions: Vec<Action> = measured
            .filter_map(|(worker, status)| self.choose_action(worker, status))
            .collect();
        for status in self.statuses.values_mut() {
            status.has_new_sample = false;
        }
        for action in &actions {
            if let Some(status) = self.statuses.get_mut(&action.worker) {
                status.acted_at_ms = now_ms;
            }
        }
        actions
    }

    fn allows(&self, worker: &WorkerId, job: &JobKey, share: f64) -> bool {
        let Some(status) = self.statuses.get(worker) else {
            return true;
        };
        let pair = self.pair_key(status, job);
        if self.table.samples(&pair) < self.settings.trusted_samples_min {
            let trial_count = self.trials.values().filter(|trial| **trial == pair).count();
            return trial_count < self.settings.trials_max;
        }
        let present: f64 = self
            .history
            .running(worker)
            .map(|attempt| self.predicted_excess(status, attempt))
            .sum();
        let added = self.table.weight(&pair, self.now_ms) * share * status.load;
        present + added <= self.settings.placement_excess_max || added <= NEGLIGIBLE_EXCESS_MAX
    }
}
