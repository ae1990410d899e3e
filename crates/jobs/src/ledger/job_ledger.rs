use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Job;
use super::JobProgress;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueName;
use crate::model::Submission;

/// The entry of a job that has reached its final state.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    /// The final state.
    pub state: JobState,
    /// The time from which the retention counts: when this process learned of the end.
    pub retained_since: Instant,
}

/// All jobs of a cell.
#[derive(Debug, Default)]
pub struct JobLedger {
    active: BTreeMap<JobId, Job>,
    finished: HashMap<JobId, FinishedJob>,
    /// Jobs whose cancellation was read before their submission, each with the time.
    cancelled_before_submission: HashMap<JobId, Instant>,
    /// The states that clients may see; each one lags behind its job until the progress is stored.
    published: HashMap<JobId, JobState>,
    /// The memory of the active jobs.
    active_bytes: usize,
}

/// What a finished job takes, with its published state.
const FINISHED_JOB_BYTES: usize = 160;
/// What the cancellation of an unknown job takes.
const CANCELLATION_BYTES: usize = 64;

impl JobLedger {
    /// Adds a submitted job and returns whether the job is new.
    ///
    /// Idempotent: a known job stays as it is.
    pub fn accept(&mut self, id: JobId, submission: Arc<Submission>, now: Instant) -> bool {
        self.restore(id, submission, JobProgress::default(), now)
    }

    /// Adds a job with its stored progress and returns whether the job is new.
    ///
    /// Idempotent: a known job stays as it is.
    pub fn restore(
        &mut self,
        id: JobId,
        submission: Arc<Submission>,
        progress: JobProgress,
        accepted_at: Instant,
    ) -> bool {
        if self.active.contains_key(&id) || self.finished.contains_key(&id) {
            return false;
        }
        self.active_bytes += submission.memory_bytes();
        let mut job = Job::new(id, submission, progress, accepted_at);
        if self.cancelled_before_submission.remove(&id).is_some() {
            job.cancel();
        }
        self.published.insert(id, job.state());
        self.active.insert(id, job);
        true
    }

    /// Cancels a job and returns whether the job was open.
    ///
    /// A cancellation of an unknown job applies if its submission is read within the retention.
    pub fn cancel(&mut self, id: JobId, now: Instant) -> bool {
        if let Some(job) = self.active.get_mut(&id) {
            return job.cancel();
        }
        if !self.finished.contains_key(&id) {
            self.cancelled_before_submission.entry(id).or_insert(now);
        }
        false
    }

    /// Returns the memory that the jobs need, at most.
    pub fn memory_bytes(&self) -> usize {
        self.active_bytes
            + self.finished.len() * FINISHED_JOB_BYTES
            + self.cancelled_before_submission.len() * CANCELLATION_BYTES
    }

    /// Returns an active job: one that is not finished.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.active.get(&id)
    }

    /// Returns whether tasks of a job may start.
    pub fn is_open(&self, id: JobId) -> bool {
        self.active.get(&id).is_some_and(Job::is_open)
    }

    /// Returns an active job for mutation.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.active.get_mut(&id)
    }

    /// Records that an executor has started a task of a job.
    pub fn mark_started(&mut self, id: JobId) {
        if let Some(job) = self.active.get_mut(&id) {
            job.mark_started();
        }
    }

    /// Returns the active jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.active.values()
    }

    /// Returns the active jobs for mutation, in the order of their ids.
    pub fn jobs_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.active.values_mut()
    }

    /// Returns whether a job is active or finished.
    pub fn contains(&self, id: JobId) -> bool {
        self.active.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns the state of a job that clients may see.
    pub fn published_state(&self, id: JobId) -> Option<JobState> {
        self.published.get(&id).copied()
    }

    /// Makes a state visible to clients, once the job's progress is stored.
    pub fn publish_state(&mut self, id: JobId, state: JobState) {
        self.published.insert(id, state);
    }

    /// Adds a job to the finished ones and drops its tasks, once its last record is stored.
    pub fn finalize(&mut self, id: JobId, state: JobState, now: Instant) {
        if let Some(job) = self.active.remove(&id) {
            self.active_bytes -= job.submission().memory_bytes();
        }
        self.finished.insert(
            id,
            FinishedJob {
                state,
                retained_since: now,
            },
        );
    }

    /// Returns the number of a queue's jobs without a started task.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        let pending = self
            .active
            .values()
            .filter(|job| job.submission().queue.name == *queue && job.is_pending());
        pending.count() as u64
    }

    /// Removes the finished jobs whose retention has expired and returns their ids. Also forgets
    /// cancellations of that age whose jobs were never submitted.
    pub fn remove_expired(&mut self, retention: Duration, now: Instant) -> Vec<JobId> {
        self.cancelled_before_submission
            .retain(|_, read_at| now.duration_since(*read_at) <= retention);
        let expired: Vec<JobId> = self
            .finished
            .iter()
            .filter(|(_, job)| now.duration_since(job.retained_since) > retention)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.finished.remove(id);
            self.published.remove(id);
        }
        expired
    }
}
