use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TeamName;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// Number of distinct jobs with failures since the last success that quarantines a worker. A
/// quarantined worker takes one probe attempt at a time.
pub const QUARANTINE_FAILED_JOBS_MIN: usize = 3;

/// Capacity, reservations and failure history of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The worker's incarnation at the last recorded inventory.
    pub incarnation: Incarnation,
    /// The worker's total resources.
    pub capacity: Resources,
    /// The offset of the attempt that was opened last.
    #[serde(default)]
    pub last_opened: Option<Offset>,
    /// Sum of the resources reserved for the worker's open attempts.
    #[serde(skip)]
    pub used: Resources,
    /// The worker's open attempts.
    #[serde(skip)]
    pub open: BTreeSet<AttemptId>,
    /// Jobs with failed attempts on the worker since the last success.
    pub failed_jobs: BTreeSet<(TeamName, JobName)>,
}

impl WorkerState {
    /// Creates the state of a worker without open attempts or failures.
    pub(super) fn new(incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            incarnation,
            capacity,
            last_opened: None,
            used: Resources::default(),
            open: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
        }
    }

    /// Returns the resources available to new attempts.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns whether the worker has reached [`QUARANTINE_FAILED_JOBS_MIN`] and takes one probe at
    /// a time.
    pub fn is_quarantined(&self) -> bool {
        self.failed_jobs.len() >= QUARANTINE_FAILED_JOBS_MIN
    }

    /// Reserves resources for an attempt.
    pub(super) fn reserve(&mut self, attempt: AttemptId, size: &Resources) {
        self.used = self.used.saturating_add(size);
        self.open.insert(attempt);
    }

    /// Releases an attempt's resources; no effect if the attempt is not open.
    pub(super) fn release(&mut self, attempt: &AttemptId, size: &Resources) {
        if self.open.remove(attempt) {
            self.used = self.used.saturating_sub(size);
        }
    }

    /// Records the job of a failed attempt. A quarantined worker records no more jobs, which bounds
    /// the set.
    pub(super) fn count_failure(&mut self, team: &TeamName, job: &JobName) {
        if !self.is_quarantined() {
            self.failed_jobs.insert((team.clone(), job.clone()));
        }
    }
}
