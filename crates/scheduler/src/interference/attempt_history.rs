use std::collections::BTreeMap;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;

use super::ActionKind;
use crate::placement::JobKey;

const KEPT_AFTER_END_MS: u64 = 60_000;
const ENDED_MAX: usize = 256;

/// An attempt at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ColocatedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The job that it belongs to.
    pub job: JobKey,
    /// When it started.
    pub started_at_ms: u64,
    /// When it ended; absent while it runs.
    pub ended_at_ms: Option<u64>,
    /// What it takes of the worker's processors, from 0 to 1.
    pub share: f64,
    /// The last step against it.
    pub last_action: ActionKind,
    /// When that step was carried out.
    pub last_action_at_ms: u64,
}

impl ColocatedAttempt {
    /// Creates an attempt that has just started at full speed.
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

    /// Returns whether it ran at the time.
    pub fn ran_at(&self, at_ms: u64) -> bool {
        self.started_at_ms <= at_ms && self.ended_at_ms.is_none_or(|end_ms| at_ms < end_ms)
    }
}

/// What runs, and ran a short time ago, on each worker.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    workers: BTreeMap<WorkerId, Vec<ColocatedAttempt>>,
}

impl AttemptHistory {
    /// Adds an attempt; one that is known already stays as it is.
    pub fn add(&mut self, worker: &WorkerId, resident: ColocatedAttempt) {
        let residents = self.workers.entry(worker.clone()).or_default();
        let is_known = residents.iter().any(|r| r.attempt == resident.attempt);
        if !is_known {
            residents.push(resident);
        }
    }

    /// Marks an attempt as ended and drops what ended long ago.
    pub fn record_end(&mut self, worker: &WorkerId, attempt: &AttemptId, now_ms: u64) {
        if let Some(resident) = self.find(worker, attempt) {
            resident.ended_at_ms = Some(now_ms);
        }
        let Some(residents) = self.workers.get_mut(worker) else {
            return;
        };
        residents.retain(|resident| {
            let end_ms = resident.ended_at_ms;
            end_ms.is_none_or(|end_ms| now_ms < end_ms + KEPT_AFTER_END_MS)
        });
        let mut ended = residents.iter().filter(|r| r.ended_at_ms.is_some()).count();
        residents.retain(|resident| {
            let is_dropped = resident.ended_at_ms.is_some() && ended > ENDED_MAX;
            ended -= usize::from(is_dropped);
            !is_dropped
        });
        if residents.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Drops all attempts of a worker.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Marks a step against an attempt.
    pub fn record_action(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        kind: ActionKind,
        now_ms: u64,
    ) {
        if let Some(resident) = self.find(worker, attempt) {
            resident.last_action = kind;
            resident.last_action_at_ms = now_ms;
        }
    }

    /// Sets what a running attempt takes.
    pub fn set_share(&mut self, worker: &WorkerId, attempt: &AttemptId, share: f64) {
        if let Some(resident) = self.find(worker, attempt) {
            resident.share = share;
        }
    }

    /// Returns the attempts that run at a worker.
    pub fn running(&self, worker: &WorkerId) -> impl Iterator<Item = &ColocatedAttempt> {
        let residents = self.workers.get(worker).into_iter().flatten();
        residents.filter(|resident| resident.ended_at_ms.is_none())
    }

    /// Returns the attempts that ran at a worker at a time.
    pub fn ran_at(&self, worker: &WorkerId, at_ms: u64) -> impl Iterator<Item = &ColocatedAttempt> {
        let residents = self.workers.get(worker).into_iter().flatten();
        residents.filter(move |resident| resident.ran_at(at_ms))
    }

    /// Returns what the attempts that run at a worker take together.
    pub fn running_share(&self, worker: &WorkerId) -> f64 {
        self.running(worker).map(|resident| resident.share).sum()
    }

    fn find(&mut self, worker: &WorkerId, attempt: &AttemptId) -> Option<&mut ColocatedAttempt> {
        let mut residents = self.workers.get_mut(worker)?.iter_mut();
        residents.find(|r| r.attempt == *attempt && r.ended_at_ms.is_none())
    }
}
