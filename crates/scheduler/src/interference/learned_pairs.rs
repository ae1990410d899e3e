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

/// How much more an attempt takes once it is no longer throttled.
const THROTTLE_RATIO: f64 = 2.0;
/// Predicted excess of one attempt that placement does not heed.
const NEGLIGIBLE_EXCESS: f64 = 0.005;
/// Predicted excess below which a sample shows the service as if alone.
const QUIET_EXCESS: f64 = 0.02;
const OFFSET_RATE: f64 = 0.01;
const SMOOTHING: f64 = 0.5;

/// The newest that is known of the service at a worker.
#[derive(Clone, Debug)]
struct Watched {
    service: ServiceName,
    measured_at_ms: u64,
    excess: f64,
    load: f64,
    acted_at_ms: u64,
    is_due: bool,
}

/// Learns a score for each pair of service and job; steps in against the newest and likeliest
/// suspect, and keeps bad pairs apart.
#[derive(Clone, Debug)]
pub struct LearnedPairs {
    settings: LearnedPairsSettings,
    history: AttemptHistory,
    baseline: BaselineLatency,
    table: PairTable<PairKey>,
    /// The mean excess of each service when little runs beside it.
    offsets: BTreeMap<ServiceName, f64>,
    watched: BTreeMap<WorkerId, Watched>,
    /// The running attempts whose pair had few samples when they started.
    trials: BTreeMap<AttemptId, PairKey>,
    now_ms: u64,
}

impl LearnedPairs {
    /// Creates a controller that knows no pair.
    pub fn new(settings: LearnedPairsSettings) -> Self {
        Self {
            settings,
            history: AttemptHistory::default(),
            baseline: BaselineLatency::default(),
            table: PairTable::new(settings.pairs_max, settings.half_life_ms),
            offsets: BTreeMap::new(),
            watched: BTreeMap::new(),
            trials: BTreeMap::new(),
            now_ms: 0,
        }
    }

    /// Returns the scores.
    pub fn table(&self) -> &PairTable<PairKey> {
        &self.table
    }

    fn pair(&self, watched: &Watched, job: &JobKey) -> PairKey {
        PairKey {
            service: watched.service.clone(),
            job: job.clone(),
        }
    }

    /// Returns the excess that one attempt causes at a load, by its pair's score.
    fn caused(&self, watched: &Watched, resident: &ColocatedAttempt) -> f64 {
        let weight = self
            .table
            .weight(&self.pair(watched, &resident.job), self.now_ms);
        weight * resident.share * watched.load
    }

    /// Learns from a sample and returns by which share it exceeds the service alone.
    fn learn(&mut self, sample: &ServiceSample, raw_excess: f64) -> f64 {
        let mut shares: BTreeMap<PairKey, f64> = BTreeMap::new();
        for resident in self.history.ran_at(&sample.worker, sample.measured_at_ms) {
            let pair = PairKey {
                service: sample.service.clone(),
                job: resident.job.clone(),
            };
            *shares.entry(pair).or_default() += resident.share * sample.load;
        }
        let shares: Vec<(PairKey, f64)> = shares.into_iter().collect();
        let now_ms = sample.measured_at_ms;
        let caused = shares
            .iter()
            .map(|(p, share)| self.table.weight(p, now_ms) * share);
        let is_quiet = caused.sum::<f64>() < QUIET_EXCESS;
        if self.offsets.len() >= self.settings.pairs_max {
            self.offsets.pop_first();
        }
        let offset = self.offsets.entry(sample.service.clone()).or_default();
        let excess = raw_excess - *offset;
        if is_quiet {
            *offset += OFFSET_RATE * excess;
        }
        self.table.learn(&shares, excess, now_ms);
        excess
    }

    /// Returns the next step at a worker that was measured after the last one.
    fn choose(&self, worker: &WorkerId, watched: &Watched) -> Option<Action> {
        if watched.excess > self.settings.act_excess {
            return self.choose_suspect(worker, watched);
        }
        self.choose_release(worker, watched)
    }

    fn choose_suspect(&self, worker: &WorkerId, watched: &Watched) -> Option<Action> {
        let ran = |r: &&ColocatedAttempt| r.started_at_ms <= watched.measured_at_ms;
        let suspects = self.history.running(worker).filter(ran);
        let blamed = suspects.map(|resident| (self.caused(watched, resident), resident));
        let newest_likeliest = |a: &(f64, &ColocatedAttempt), b: &(f64, &ColocatedAttempt)| {
            let by_blame = a.0.total_cmp(&b.0);
            by_blame.then(a.1.started_at_ms.cmp(&b.1.started_at_ms))
        };
        let (caused, suspect) = blamed.max_by(newest_likeliest)?;
        if caused < self.settings.blame_min * watched.excess {
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

    /// Returns the oldest throttled attempt if it would not slow the service down again.
    fn choose_release(&self, worker: &WorkerId, watched: &Watched) -> Option<Action> {
        let throttled = self
            .history
            .running(worker)
            .filter(|r| r.last_action == ActionKind::Throttle);
        let oldest = throttled.min_by_key(|resident| resident.last_action_at_ms)?;
        let gained = self.caused(watched, oldest) * THROTTLE_RATIO;
        (watched.excess.max(0.0) + gained <= self.settings.place_excess).then(|| Action {
            attempt: oldest.attempt.clone(),
            worker: worker.clone(),
            kind: ActionKind::Release,
        })
    }
}

impl InterferenceController for LearnedPairs {
    fn record_start(&mut self, worker: &WorkerId, resident: ColocatedAttempt) {
        if let Some(watched) = self.watched.get(worker) {
            let pair = self.pair(watched, &resident.job);
            if self.table.samples(&pair) < self.settings.trusted_samples {
                self.trials.insert(resident.attempt.clone(), pair);
            }
        }
        self.history.add(worker, resident);
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
        for resident in self.history.running(worker) {
            self.trials.remove(&resident.attempt);
        }
        self.history.remove_worker(worker);
        self.watched.remove(worker);
    }

    fn record_sample(&mut self, sample: &ServiceSample) {
        let raw_excess = self.baseline.measure_excess(sample);
        let excess = self.learn(sample, raw_excess);
        let watched = self
            .watched
            .entry(sample.worker.clone())
            .or_insert_with(|| Watched {
                service: sample.service.clone(),
                measured_at_ms: 0,
                excess: 0.0,
                load: 0.0,
                acted_at_ms: 0,
                is_due: false,
            });
        if sample.measured_at_ms >= watched.measured_at_ms {
            let is_first = watched.measured_at_ms <= watched.acted_at_ms;
            let before = if is_first { excess } else { watched.excess };
            watched.excess = before + SMOOTHING * (excess - before);
            watched.measured_at_ms = sample.measured_at_ms;
            watched.load = sample.load;
            watched.is_due = sample.measured_at_ms > watched.acted_at_ms;
        }
    }

    fn next_actions(&mut self, now_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        let due = self.watched.iter().filter(|(_, watched)| watched.is_due);
        let actions: Vec<Action> = due
            .filter_map(|(worker, watched)| self.choose(worker, watched))
            .collect();
        for watched in self.watched.values_mut() {
            watched.is_due = false;
        }
        for action in &actions {
            if let Some(watched) = self.watched.get_mut(&action.worker) {
                watched.acted_at_ms = now_ms;
            }
        }
        actions
    }

    fn allows(&self, worker: &WorkerId, job: &JobKey, share: f64) -> bool {
        let Some(watched) = self.watched.get(worker) else {
            return true;
        };
        let pair = self.pair(watched, job);
        if self.table.samples(&pair) < self.settings.trusted_samples {
            let trials = self.trials.values().filter(|known| **known == pair).count();
            return trials < self.settings.trials_max;
        }
        let known: f64 = self
            .history
            .running(worker)
            .map(|r| self.caused(watched, r))
            .sum();
        let added = self.table.weight(&pair, self.now_ms) * share * watched.load;
        known + added <= self.settings.place_excess || added <= NEGLIGIBLE_EXCESS
    }
}
