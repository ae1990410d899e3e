use tokio::time::Instant;

use super::CellState;
use super::planning::WaitingStep;
use crate::model::JobId;
use crate::model::TaskId;

/// The order between parts of a queue that compete for scarce capacity.
impl CellState {
    pub(super) fn record_arrival(&mut self, id: JobId, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        if let Some(job) = self.ledger.job(id) {
            self.shares.record_arrival(job, now_ms);
        }
    }

    pub(super) fn record_placed(&mut self, task: TaskId, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        if let Some(job) = self.ledger.job(task.job) {
            self.shares.record_placed(job, job.step(task.step), now_ms);
        }
    }

    /// Moves the steps that exceed the usual share of their part of the queue behind other steps of
    /// the same class and priority.
    pub(super) fn apply_excess(&self, waiting: &mut [WaitingStep], now: Instant) {
        let steps = waiting
            .iter()
            .filter_map(|waiting| Some((self.ledger.job(waiting.job)?, waiting.step_ref)));
        let levels = self.shares.excess_levels(steps, self.elapsed_ms(now));
        for (waiting, level) in waiting.iter_mut().zip(levels) {
            waiting.rank.excess = level;
        }
        waiting.sort_by_key(|waiting| waiting.rank);
    }
}
