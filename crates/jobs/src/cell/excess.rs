use tokio::time::Instant;

use super::CellState;
use super::planning::WaitingStep;
use crate::ledger::encode;
use crate::model::JobId;
use crate::model::TaskId;
use crate::platform::KeyedRecord;
use crate::policy::LearnedShares;

/// The store key of the shares that an owner has observed.
pub(crate) const SHARES_KEY: &str = "learned-shares";

/// The order between parts of a queue that compete for scarce capacity.
impl CellState {
    pub(super) fn record_arrival(&mut self, id: JobId, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        if let Some(job) = self.ledger.job(id) {
            self.shares.record_arrival(job, now_ms);
        }
    }

    /// Adds a job of a former owner, unless the restored shares of its queue contain the job.
    pub(super) fn record_restored(&mut self, id: JobId, now: Instant) {
        let queue = self
            .ledger
            .job(id)
            .map(|job| job.submission().queue.name.clone());
        if queue.is_some_and(|queue| !self.restored_shares.contains(&queue)) {
            self.record_arrival(id, now);
        }
    }

    /// Restores the shares that a former owner observed. Must precede the jobs.
    pub fn restore_shares(&mut self, learned: Vec<LearnedShares>, now: Instant) {
        let queues = learned.iter().map(|shares| shares.queue.clone());
        self.restored_shares.extend(queues);
        let now_ms = self.elapsed_ms(now);
        self.shares.restore(learned, now_ms);
    }

    /// Returns the record of the observed shares; `None` if there are none.
    pub(super) fn shares_record(&self, now: Instant) -> Option<KeyedRecord> {
        let learned = self.shares.learned(self.elapsed_ms(now));
        if learned.is_empty() {
            return None;
        }
        let value = encode(&learned).ok()?;
        let key = SHARES_KEY.into();
        Some(KeyedRecord { key, value })
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
