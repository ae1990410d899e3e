use std::collections::BTreeMap;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::ActionKind;
use crate::placement::JobKey;

/// How long an ended attempt stays in the history; samples arrive with a delay.
const RETENTION_AFTER_END_MS: u64 = 60_000;
/// Maximum number of ended attempts per worker.
const ENDED_ATTEMPTS_MAX: usize = 256;

/// A batch attempt on a worker that may also run services.
#[derive(Clone, Debug, PartialEq)]
pub struct ColocatedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// The job that the attempt belongs to.
    pub job: JobKey,
    /// Start time.
    pub started_at_ms: u64,
    /// End time; absent while the attempt runs.
    pub ended_at_ms: Option<u64>,
    /// Share of the worker's processors that the attempt uses, from 0 to 1.
    pub share: f64,
    /// The last action carried out on the attempt.
    pub last_action: ActionKind,
    /// Time of the last action.
    pub last_action_at_ms: u64,
}

impl ColocatedAttempt {
    /// Creates an attempt that starts now and runs at full speed.
    pub fn new(attempt: AttemptId, job: JobKey, share: f64, now_ms: u64) -> Self {
        Self {
            attempt,
            job,
            started_at_ms: now_ms,
            ended_at_ms: None,
            share,
            last_action: ActionKind::Release,
            last_action_at_ms: now_ms,
        }
    }

    /// Returns whether the attempt was running at the given time.
    pub fn ran_at(&self, at_ms: u64) -> bool {
        self.started_at_ms <= at_ms && self.ended_at_ms.is_none_or(|end_ms| at_ms < end_ms)
    }
}

/// The running and recently ended attempts of each worker.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    workers: BTreeMap<WorkerId, Vec<ColocatedAttempt>>,
}

impl AttemptHistory {
    /// Adds an attempt; an attempt already in the history stays unchanged.
    pub fn add(&mut self, worker: &WorkerId, added: ColocatedAttempt) {
        let attempts = self.workers.entry(worker.clone()).or_default();
        let is_known = attempts.iter().any(|known| known.attempt == added.attempt);
        if !is_known {
            attempts.push(added);
        }
    }

    /// Marks an attempt as ended and drops ended attempts beyond the retention bounds.
    pub fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        if let Some(running) = self.running_mut(worker, attempt) {
            running.ended_at_ms = Some(now_ms);
        }
        let Some(attempts) = self.workers.get_mut(worker) else {
            return;
        };
        attempts.retain(|attempt| {
            let end_ms = attempt.ended_at_ms;
            end_ms.is_none_or(|end_ms| now_ms < end_ms + RETENTION_AFTER_END_MS)
        });
        let mut ended = attempts.iter().filter(|a| a.ended_at_ms.is_some()).count();
        attempts.retain(|attempt| {
            let is_dropped = attempt.ended_at_ms.is_some() && ended > ENDED_ATTEMPTS_MAX;
            ended -= usize::from(is_dropped);
            !is_dropped
        });
        if attempts.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Drops all attempts of a worker.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Records an action on a running attempt.
    pub fn record_action(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        kind: ActionKind,
        now_ms: u64,
    ) {
        if let Some(running) = self.running_mut(worker, attempt) {
            running.last_action = kind;
            running.last_action_at_ms = now_ms;
        }
    }

    /// Sets the processor share of a running attempt.
    pub fn set_share(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        if let Some(running) = self.running_mut(worker, attempt) {
            running.share = share;
        }
    }

    /// Returns the running attempts of a worker.
    pub fn running(&self, worker: &WorkerId) -> impl Iterator<Item = &ColocatedAttempt> {
        let attempts = self.workers.get(worker).into_iter().flatten();
        attempts.filter(|attempt| attempt.ended_at_ms.is_none())
    }

    /// Returns the attempts that were running on a worker at the given time.
    pub fn ran_at(&self, worker: &WorkerId, at_ms: u64) -> impl Iterator<Item = &ColocatedAttempt> {
        let attempts = self.workers.get(worker).into_iter().flatten();
        attempts.filter(move |attempt| attempt.ran_at(at_ms))
    }

    /// Returns the sum of the processor shares of a worker's running attempts.
    pub fn running_share(&self, worker: &WorkerId) -> f64 {
        self.running(worker).map(|attempt| attempt.share).sum()
    }

    fn running_mut(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
    ) -> Option<&mut ColocatedAttempt> {
        let mut attempts = self.workers.get_mut(worker)?.iter_mut();
        attempts.find(|known| known.attempt == *attempt && known.ended_at_ms.is_none())
    }
}
