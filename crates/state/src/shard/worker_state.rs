use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// A worker on which so many jobs failed in a row takes probes only.
pub const QUARANTINE_FAILED_JOBS_MIN: usize = 3;

/// What a worker has and what the open attempts take of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The worker's incarnation at the last recorded inventory.
    pub incarnation: Incarnation,
    /// What the worker has.
    pub capacity: Resources,
    /// The sum over its open attempts.
    #[serde(skip)]
    pub used: Resources,
    /// Its open attempts.
    #[serde(skip)]
    pub open: BTreeSet<AttemptId>,
    /// The jobs that failed here since the last success.
    pub failed_jobs: BTreeSet<(TeamName, JobName)>,
}

impl WorkerState {
    /// Creates an idle account.
    pub(super) fn new(incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            incarnation,
            capacity,
            used: Resources::default(),
            open: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
        }
    }

    /// Returns what is left for new attempts.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns whether the worker failed several jobs in a row and takes one probe at a time.
    pub fn is_quarantined(&self) -> bool {
        self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS_MIN
    }

    /// Reserves room for an attempt.
    pub(super) fn reserve(&mut self, attempt: AttemptId, size: &Resources) {
        self.used = self.used.saturating_add(size);
        self.open.insert(attempt);
    }

    /// Gives an attempt's room back.
    pub(super) fn release(&mut self, attempt: &AttemptId, size: &Resources) {
        if self.open.remove(attempt) {
            self.used = self.used.saturating_sub(size);
        }
    }

    /// Counts a failure; the jobs beyond the quarantine's number add nothing.
    pub(super) fn count_failure(&mut self, team: &TeamName, job: &JobName) {
        if !self.is_quarantined() {
            self.failed_jobs.insert((team.clone(), job.clone()));
        }
    }
}
