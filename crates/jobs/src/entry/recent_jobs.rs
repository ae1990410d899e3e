use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::JobId;

/// The jobs that this host accepted of late; the owner may not have read them yet.
#[derive(Debug, Default)]
pub(super) struct RecentJobs {
    ids: HashSet<JobId>,
    order: VecDeque<(Instant, JobId)>,
}

impl RecentJobs {
    /// Remembers a job for the given time.
    pub(super) fn add(&mut self, id: JobId, keep: Duration, now: Instant) {
        while let Some((at, oldest)) = self.order.front().copied() {
            if now.duration_since(at) <= keep {
                break;
            }
            self.order.pop_front();
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.order.push_back((now, id));
        }
    }

    /// Returns whether a job is remembered.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.ids.contains(&id)
    }
}
