use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Job;
use super::JobProgress;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueName;
use crate::model::Submission;

/// What is kept of a job after its end.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    /// Its final state.
    pub state: JobState,
    /// When this process learned of the end.
    pub since: Instant,
}

/// All jobs of a cell.
#[derive(Debug, Default)]
pub struct JobLedger {
    active: BTreeMap<JobId, Job>,
    finished: HashMap<JobId, FinishedJob>,
    /// Cancelled before their submissions were read.
    cancelled_early: HashSet<JobId>,
    /// What clients may be told; lags behind the jobs until their progress is stored.
    shown: HashMap<JobId, JobState>,
}

impl JobLedger {
    /// Adds a submitted job; a repeat changes nothing. Returns whether the job is new.
    pub fn accept(&mut self, id: JobId, submission: Arc<Submission>, now: Instant) -> bool {
        self.restore(id, submission, JobProgress::default(), now)
    }

    /// Adds a job with the progress that was stored; a known job stays as it is.
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
        let mut job = Job::new(id, submission, progress, accepted_at);
        if self.cancelled_early.remove(&id) {
            job.cancel();
        }
        self.shown.insert(id, job.state());
        self.active.insert(id, job);
        true
    }

    /// Adds a job that had ended before this process took over.
    pub fn restore_finished(&mut self, id: JobId, state: JobState, now: Instant) {
        self.shown.insert(id, state);
        self.finished.insert(id, FinishedJob { state, since: now });
    }

    /// Notes a cancellation; returns whether it changed an open job.
    pub fn cancel(&mut self, id: JobId) -> bool {
        if let Some(job) = self.active.get_mut(&id) {
            return job.cancel();
        }
        if !self.finished.contains_key(&id) {
            self.cancelled_early.insert(id);
        }
        false
    }

    /// Returns a job that is not finished.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.active.get(&id)
    }

    /// Returns whether tasks of a job may start.
    pub fn is_open(&self, id: JobId) -> bool {
        self.active.get(&id).is_some_and(Job::is_open)
    }

    /// Returns a job that is not finished, to change it.
    pub fn job_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.active.get_mut(&id)
    }

    /// Returns the jobs that are not finished.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.active.values()
    }

    /// Returns the jobs that are not finished, to change them.
    pub fn jobs_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.active.values_mut()
    }

    /// Returns whether a job is known.
    pub fn contains(&self, id: JobId) -> bool {
        self.active.contains_key(&id) || self.finished.contains_key(&id)
    }

    /// Returns what a client may be told of its job.
    pub fn shown_state(&self, id: JobId) -> Option<JobState> {
        self.shown.get(&id).copied()
    }

    /// Lets clients see a state whose progress is stored.
    pub fn show(&mut self, id: JobId, state: JobState) {
        self.shown.insert(id, state);
    }

    /// Forgets the tasks of a job whose last record is stored.
    pub fn close(&mut self, id: JobId, state: JobState, now: Instant) {
        self.active.remove(&id);
        self.finished.insert(id, FinishedJob { state, since: now });
    }

    /// Returns the number of a queue's jobs that have not begun.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        let pending = self.active.values().filter(|job| {
            job.submission().queue.name == *queue && job.state() == JobState::Pending
        });
        pending.count() as u64
    }

    /// Forgets jobs that ended longer ago than `retention` and returns them.
    pub fn expire(&mut self, retention: Duration, now: Instant) -> Vec<JobId> {
        let expired: Vec<JobId> = self
            .finished
            .iter()
            .filter(|(_, job)| now.duration_since(job.since) > retention)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.finished.remove(id);
            self.shown.remove(id);
        }
        expired
    }
}
