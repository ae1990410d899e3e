use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::planning::StepSearch;
use crate::evacuation::ViewSnapshot;
use crate::fleet::Executor;
use crate::model::ExecutorId;
use crate::model::TaskId;

/// Penalty of a cold executor. It exceeds all differences in score but that of the rack with the data:
/// tasks run slower there, while others wait for the executors that aren't cold in vain.
const COLD_PENALTY: f64 = 5.0;
/// The shortest time between two observations of a run's progress that tells its speed.
const SPEED_SAMPLE_MIN: Duration = Duration::from_millis(200);

/// Ramp-up of executors that are cold, or that return after an evacuation.
impl CellState {
    /// Begins the ramp-up of the executors whose evacuation is no longer in force.
    pub(super) fn begin_returns(&mut self, former: &ViewSnapshot, now: Instant) {
        let current = &self.operator_view.evacuations;
        for executor in self.executors.values_mut() {
            let domain = &executor.entry.failure_domain;
            if former.evacuations.contains(domain) && !current.contains(domain) {
                executor.ramp_up.begin_return(now);
            }
        }
    }

    /// Returns whether the ramp-up of an executor permits another run of a step.
    pub(super) fn ramp_up_permits(
        &self,
        search: &StepSearch<'_>,
        executor: &Executor,
        now: Instant,
    ) -> bool {
        let ramp_up = &executor.ramp_up;
        let Some(share) = ramp_up.new_load_share(now) else {
            return true;
        };
        if ramp_up.is_cold(now) && self.is_over_cold_limits(executor) {
            return false;
        }
        // A first run is always permitted, so that large tasks aren't excluded.
        let placed = executor.runs().values().filter(|view| {
            let began_at = ramp_up.began_at();
            view.placed_at.is_some_and(|at| Some(at) >= began_at)
        });
        let new_milli: u64 = placed
            .map(|view| view.reserved.cpu_milli.0 + view.filler_cpu_milli)
            .sum();
        let limit_milli = share * executor.entry.capacity.cpu_milli.0 as f64;
        search.ignores_ramp_up
            || new_milli == 0
            || (new_milli + search.step.need.cpu_milli.0) as f64 <= limit_milli
    }

    /// Returns whether a cold executor has got all runs that it may beyond its share.
    fn is_over_cold_limits(&self, executor: &Executor) -> bool {
        let Some(limits) = self.settings.cold_limits else {
            return false;
        };
        let service = &executor.entry.service;
        let pool_starts = self.pool_starts.get(service).copied().unwrap_or(0);
        let pool_size = self.pool_sizes.get(service).copied().unwrap_or(1);
        let (starts, pool_starts) = executor.ramp_up.starts(pool_starts);
        let share = pool_starts as f64 / pool_size as f64;
        starts as f64 + 1.0 > limits.overage * share + f64::from(limits.burst)
    }

    /// Returns the penalty in the score of an executor for a cold start.
    pub(super) fn cold_penalty(executor: &Executor, now: Instant) -> f64 {
        match executor.ramp_up.is_cold(now) {
            true => COLD_PENALTY,
            false => 0.0,
        }
    }

    /// Counts the executors of each pool, which share its load, without those that are only listed.
    pub(super) fn count_pools(&mut self, now: Instant) {
        self.pool_sizes.clear();
        let executors = self.executors.values();
        for executor in executors.filter(|executor| !executor.is_only_listed(now)) {
            let service = executor.entry.service.clone();
            *self.pool_sizes.entry(service).or_default() += 1;
        }
    }

    /// Records the speed of a run on a cold executor, from its progress since the last observation.
    pub(super) fn observe_speed(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        progress_percent: f64,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if !executor.ramp_up.is_cold(now) {
            return;
        }
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let step = job.step(task.step);
        let Some(view) = executor.run(task) else {
            return;
        };
        let elapsed = now.duration_since(view.progressed_at);
        let gained = (progress_percent - view.progress_percent) / 100.0;
        if step.is_long_running
            || view.pace_percent < 100
            || view.progress_percent <= 0.0
            || !gained.is_finite()
            || gained <= 0.0
            || elapsed < SPEED_SAMPLE_MIN
        {
            return;
        }
        let expected_ms = step.estimate_ms as f64 * gained;
        let sample = elapsed.as_millis() as f64 / expected_ms.max(1.0);
        executor.ramp_up.record_slowdown(sample);
    }
}
