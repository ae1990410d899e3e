use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::ledger::TaskStatus;
use crate::model::ExecutorId;
use crate::model::RunNumber;
use crate::model::TaskId;

/// How long a run that was listed is remembered. A run that is listed afterwards counts as first seen
/// again, which delays its stop once more.
const RETENTION: Duration = Duration::from_secs(60);

/// Runs that a later owner may have started, seen by an owner that may have been replaced without
/// knowing it.
///
/// Executors that don't enforce fences carry out the stops of a replaced owner.
impl CellState {
    /// Records that the store accepted an append of this owner that was sent at `sent_at`.
    pub fn confirm_ownership(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        let confirmed_at = self.confirmed_at;
        self.foreign_runs
            .retain(|_, seen_at| *seen_at + RETENTION >= confirmed_at);
    }

    /// Returns whether a run may have been started by a later owner. Then its stop must wait until the
    /// store has accepted an append that was sent after the run was first seen.
    pub(super) fn may_be_foreign(&self, task: TaskId, run: RunNumber) -> bool {
        let seen_at = self.foreign_runs.get(&(task, run));
        seen_at.is_some_and(|seen_at| *seen_at >= self.confirmed_at)
    }

    /// Records a listed run that this owner has not placed on the executor, if a later owner may have
    /// done so. Each owner numbers the runs of a task above those that are stored.
    pub(super) fn record_foreign_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) {
        let known = self.ledger.job(task.job).and_then(|job| job.task(task));
        let may_be_foreign = known.is_none_or(|known| match &known.status {
            TaskStatus::Placed(executor) if executor.id != *id => run >= known.run,
            _ => run > known.run,
        });
        if may_be_foreign {
            self.foreign_runs.entry((task, run)).or_insert(now);
        }
    }
}
