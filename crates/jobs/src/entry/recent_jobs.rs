use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::JobId;

/// The jobs that this host accepted recently. The owner of a job may not have read the submission
/// yet.
#[derive(Debug, Default)]
pub(super) struct RecentJobs {
    ids: HashSet<JobId>,
    by_age: VecDeque<(Instant, JobId)>,
}

impl RecentJobs {
    /// Adds a job, and removes those that were added longer ago than the retention time.
    pub(super) fn add(&mut self, id: JobId, retention: Duration, now: Instant) {
        while let Some((at, oldest)) = self.by_age.front().copied() {
            if now.duration_since(at) <= retention {
                break;
            }
            self.by_age.pop_front();
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }

    pub(super) fn contains(&self, id: JobId) -> bool {
        self.ids.contains(&id)
    }
}
