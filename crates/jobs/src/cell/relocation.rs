use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::ExecutorPhase;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;

/// The shortest time without progress after which a run counts as stalled; executors tell their
/// progress about once a second.
const STALL_MIN: Duration = Duration::from_millis(2_500);
/// A run counts as stalled after this part of its estimated time without progress.
const STALL_SHARE: f64 = 0.5;
/// How long a draining executor serves on when it does not say so.
const DRAIN_LEFT: Duration = Duration::from_millis(2_000);
/// The time that is kept for a stop and the start elsewhere.
const MOVE_TIME: Duration = Duration::from_millis(600);
/// Runs that are moved off one executor in one round, so that others have room for them.
const MOVES_PER_ROUND_MAX: usize = 4;

/// Moving work off executors that leave or stand still.
impl CellState {
    /// Stops runs that should go on elsewhere, with what they have saved.
    pub fn relocate_runs(&mut self, now: Instant) {
        let ids: Vec<ExecutorId> = self.executors.keys().cloned().collect();
        for id in ids {
            let Some(executor) = self.executors.get(&id) else {
                continue;
            };
            let Some(key) = executor.key() else {
                continue;
            };
            let leaving = self.runs_to_evacuate(executor);
            let stalled = self.stalled_runs(executor, now);
            let has_stalled = !stalled.is_empty();
            self.stop_all(&key, leaving, "the executor leaves", now);
            self.stop_all(&key, stalled, "no progress", now);
            if has_stalled && let Some(executor) = self.executors.get_mut(&id) {
                executor.health.back_off(now);
                decided!(Decision::ExecutorRests, executor: id, cause: "runs stand still");
            }
        }
    }

    fn stop_all(&mut self, key: &ExecutorKey, tasks: Vec<TaskId>, cause: &str, now: Instant) {
        for task in tasks {
            decided!(Decision::RunStopping, task: task, executor: key, cause: cause);
            self.stop_run(key, task, now);
        }
    }

    /// Returns the runs that won't end before a draining executor is gone.
    fn runs_to_evacuate(&self, executor: &Executor) -> Vec<TaskId> {
        let ExecutorPhase::Draining { remaining_ms } = executor.entry.phase else {
            return Vec::new();
        };
        let left = remaining_ms.map_or(DRAIN_LEFT, Duration::from_millis);
        let runs = executor.runs().iter().filter(|(task, view)| {
            let Some(job) = self.ledger.job(task.job) else {
                return false;
            };
            let step = job.step(task.step);
            let ends_in = Duration::from_millis(step.estimate_ms)
                .mul_f64(1.0 - (view.progress_percent / 100.0).clamp(0.0, 1.0));
            let is_lost = step.is_long_running || ends_in + MOVE_TIME > left;
            is_lost && matches!(view.phase, RunPhase::Running { .. })
        });
        runs.map(|(task, _)| *task)
            .take(MOVES_PER_ROUND_MAX)
            .collect()
    }

    /// Returns the runs that work at full pace and have made no progress for long.
    fn stalled_runs(&self, executor: &Executor, now: Instant) -> Vec<TaskId> {
        let runs = executor.runs().iter().filter(|(task, view)| {
            let Some(job) = self.ledger.job(task.job) else {
                return false;
            };
            let step = job.step(task.step);
            let estimate = Duration::from_millis(step.estimate_ms);
            let patience = estimate.mul_f64(STALL_SHARE).max(STALL_MIN);
            !step.is_long_running
                && !step.is_gang
                && view.pace_percent == 100
                && matches!(view.phase, RunPhase::Running { .. })
                && view.is_executor_heard_after(view.progressed_at + patience, executor.clock)
                && now.duration_since(view.progressed_at) > patience
        });
        runs.map(|(task, _)| *task).collect()
    }
}
