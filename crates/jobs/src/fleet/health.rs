use std::time::Duration;

use tokio::time::Instant;

use crate::model::JobId;

/// Failed runs of different jobs, without one that succeeded, after which an executor rests.
const FAILURES_MAX: usize = 2;
/// The first rest; each further one is twice as long.
const REST: Duration = Duration::from_millis(1_500);
/// The longest rest, below the time that a fault usually lasts.
const REST_MAX: Duration = Duration::from_millis(6_000);

/// How far an executor's runs have failed of late.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failed_jobs: Vec<JobId>,
    rests: u32,
    rest_until: Option<Instant>,
}

impl Health {
    /// Notes a failed run.
    pub fn record_failure(&mut self, job: JobId, now: Instant) {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() >= FAILURES_MAX {
            self.back_off(now);
        }
    }

    /// Lets the executor rest, each time longer.
    pub fn back_off(&mut self, now: Instant) {
        let rest = REST.saturating_mul(1 << self.rests.min(4)).min(REST_MAX);
        if self.rest_until.is_none_or(|until| until < now) {
            self.rests += 1;
            self.rest_until = Some(now + rest);
        }
    }

    /// Notes a run that ended well.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the executor takes no new runs for now.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Returns whether the executor gets one new run at a time, until one ends well.
    pub fn is_on_probation(&self) -> bool {
        !self.failed_jobs.is_empty() || self.rests > 0
    }
}
