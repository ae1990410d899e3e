use std::sync::Arc;

use tokio::time::Instant;

use super::CellState;
use crate::evacuation::ViewSnapshot;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::model::ExecutorId;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;

/// Holding back of starts in evacuated failure domains.
impl CellState {
    /// Applies what the process knows of the operators' requests. The owner calls this before it
    /// places tasks, and each time before it sends a start.
    pub fn apply_operator_view(&mut self, view: ViewSnapshot, now: Instant) {
        let is_same = Arc::ptr_eq(&view.evacuations, &self.operator_view.evacuations);
        let former = std::mem::replace(&mut self.operator_view, view);
        if !is_same {
            self.evacuations_changed_at = Some(now);
            self.begin_returns(&former, now);
            self.release_closed_places(now);
            self.hold_back_starts(now);
        }
    }

    /// Returns the age of an executor's last answer, in milliseconds, for log lines.
    pub(super) fn heard_ms(&self, id: &ExecutorId, now: Instant) -> u128 {
        let clock = self.executors.get(id).and_then(|executor| executor.clock);
        clock.map_or(0, |clock| now.duration_since(clock.seen_at()).as_millis())
    }

    /// Returns whether the view of the operators' requests is too old for any start.
    pub fn is_operator_view_stale(&self, now: Instant) -> bool {
        self.operator_view.is_stale(now)
    }

    /// Returns the number of runs that were stopped since the last call because their start had no
    /// answer when an evacuation began, and of those that were stopped so that they leave.
    pub fn take_evacuation_counts(&mut self) -> (u64, u64) {
        let held_back = std::mem::take(&mut self.held_back_starts);
        (held_back, std::mem::take(&mut self.evacuation_stops))
    }

    /// Returns whether new runs may be placed on an executor.
    pub(super) fn may_place_on(&self, executor: &Executor, now: Instant) -> bool {
        executor.accepts_runs(self.settings.silence_max(), now) && self.may_start_on(executor, now)
    }

    /// Returns whether the operators' requests permit starts on an executor.
    pub(super) fn may_start_on(&self, executor: &Executor, now: Instant) -> bool {
        let domain = &executor.entry.failure_domain;
        self.operator_view.permits_start(domain, now)
    }

    /// Stops all runs in evacuated failure domains whose start has no answer, with their gangs: the
    /// start may still be queued, or an executor may carry it out late.
    fn hold_back_starts(&mut self, now: Instant) {
        let evacuations = Arc::clone(&self.operator_view.evacuations);
        let evacuated = self
            .executors
            .values()
            .filter(|executor| evacuations.contains(&executor.entry.failure_domain));
        let held: Vec<(ExecutorId, TaskId)> = evacuated
            .flat_map(|executor| {
                let runs = executor.runs().iter();
                runs.filter(|(_, view)| {
                    matches!(view.phase, RunPhase::Proposed | RunPhase::Ordered)
                })
                .map(|(task, _)| (executor.entry.id.clone(), *task))
            })
            .collect();
        for (executor, task) in held {
            decided!(Decision::StartHeldBack, task: task, executor: executor, heard_ms: self.heard_ms(&executor, now));
            self.held_back_starts += 1;
            self.stop_task_and_gang(task, now);
        }
    }
}
