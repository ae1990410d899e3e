use std::time::Duration;

use tokio::time::Instant;

use crate::model::JobId;

/// The number of different jobs whose failures, without a success in between, start a back-off.
const FAILED_JOBS_MAX: usize = 2;
/// The first back-off; each further one is twice as long.
const BACKOFF: Duration = Duration::from_millis(1_500);
/// The longest back-off, shorter than a fault usually lasts.
const BACKOFF_MAX: Duration = Duration::from_millis(6_000);

/// The recent failures of an executor and its back-off from new runs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: Vec<JobId>,
    backoffs: u32,
    backoff_until: Option<Instant>,
}

impl Health {
    /// Records a failed run of a job, and backs off once enough jobs have failed.
    pub fn record_failure(&mut self, job: JobId, now: Instant) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= FAILED_JOBS_MAX {
            self.back_off(now);
        }
    }

    /// Starts an exponential back-off from new runs, unless one is in effect.
    pub fn back_off(&mut self, now: Instant) {
        let backoff = BACKOFF
            .saturating_mul(1 << self.backoffs.min(4))
            .min(BACKOFF_MAX);
        if self.backoff_until.is_none_or(|until| until < now) {
            self.backoffs += 1;
            self.backoff_until = Some(now + backoff);
        }
    }

    /// Records a successful run, which clears all failures.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether a back-off is in effect, so the executor gets no new runs.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the executor gets one new run at a time, until a run succeeds.
    pub fn is_on_probation(&self) -> bool {
        !self.failed_jobs.is_empty() || self.backoffs > 0
    }
}
