use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::evacuation::RELOCATION_TIME;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::ExecutorPhase;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;

/// The minimum time without progress before a run counts as stalled. Executors report progress
/// about once a second.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(2_500);
/// The share of its estimated run time after which a run without progress counts as stalled.
const STALL_ESTIMATE_SHARE: f64 = 0.5;
/// The assumed time until the shutdown of a draining executor that does not report one.
const DRAIN_REMAINING_DEFAULT: Duration = Duration::from_millis(2_000);
/// Limits the runs that leave one draining executor per round, so that other executors have room
/// for them.
const EVACUATIONS_PER_ROUND_MAX: usize = 4;

/// Relocation of runs from draining executors, and of stalled runs.
impl CellState {
    /// Stops runs that should resume on another executor from their checkpoints.
    pub fn relocate_runs(&mut self, now: Instant) {
        self.count_pools(now);
        self.evacuate_runs(now);
        let ids: Vec<ExecutorId> = self.executors.keys().cloned().collect();
        for id in ids {
            let Some(executor) = self.executors.get(&id) else {
                continue;
            };
            let Some(key) = executor.key() else {
                continue;
            };
            let evacuated = self.runs_to_evacuate(executor, now);
            let stalled = self.stalled_runs(executor, now);
            let has_stalled = !stalled.is_empty();
            self.stop_runs(&key, evacuated, "the executor is draining", now);
            self.stop_runs(&key, stalled, "no progress", now);
            if has_stalled && let Some(executor) = self.executors.get_mut(&id) {
                executor.health.back_off(now);
                decided!(Decision::ExecutorRests, executor: id, cause: "stalled runs");
            }
        }
    }

    fn stop_runs(&mut self, key: &ExecutorKey, tasks: Vec<TaskId>, cause: &str, now: Instant) {
        for task in tasks {
            decided!(Decision::RunStopping, task: task, executor: key, cause: cause);
            self.stop_run(key, task, now);
        }
    }

    /// Returns the runs that won't end before a draining executor shuts down.
    fn runs_to_evacuate(&self, executor: &Executor, now: Instant) -> Vec<TaskId> {
        let ExecutorPhase::Draining { remaining_ms } = executor.entry.phase else {
            return Vec::new();
        };
        if !executor.is_draining() {
            return Vec::new();
        }
        let remaining = remaining_ms.map_or(DRAIN_REMAINING_DEFAULT, Duration::from_millis);
        let runs = executor.runs().iter().filter(|(task, view)| {
            let Some(job) = self.ledger.job(task.job) else {
                return false;
            };
            let step = job.step(task.step);
            let ends_in = Duration::from_millis(step.estimate_ms)
                .mul_f64(executor.ramp_up.slowdown(now))
                .mul_f64(1.0 - (view.progress_percent / 100.0).clamp(0.0, 1.0));
            let is_cut_off = step.is_long_running || ends_in + RELOCATION_TIME > remaining;
            is_cut_off && matches!(view.phase, RunPhase::Running { .. })
        });
        runs.map(|(task, _)| *task)
            .take(EVACUATIONS_PER_ROUND_MAX)
            .collect()
    }

    /// Returns the runs at full pace that have made no progress within the stall timeout.
    fn stalled_runs(&self, executor: &Executor, now: Instant) -> Vec<TaskId> {
        let runs = executor.runs().iter().filter(|(task, view)| {
            let Some(job) = self.ledger.job(task.job) else {
                return false;
            };
            let step = job.step(task.step);
            let estimate =
                Duration::from_millis(step.estimate_ms).mul_f64(executor.ramp_up.slowdown(now));
            let stall_timeout = estimate
                .mul_f64(STALL_ESTIMATE_SHARE)
                .max(STALL_TIMEOUT_MIN);
            !step.is_long_running
                && !step.is_gang
                && view.pace_percent == 100
                && matches!(view.phase, RunPhase::Running { .. })
                && view
                    .has_executor_answered_after(view.progressed_at + stall_timeout, executor.clock)
                && now.duration_since(view.progressed_at) > stall_timeout
        });
        runs.map(|(task, _)| *task).collect()
    }
}
