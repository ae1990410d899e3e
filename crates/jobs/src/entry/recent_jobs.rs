use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::JobId;

/// The jobs that this host accepted recently. The owner of a job may not have read the submission
/// yet.
#[derive(Debug)]
pub struct RecentJobs {
    retention: Duration,
    accepted_at: HashMap<JobId, Instant>,
    by_age: VecDeque<(Instant, JobId)>,
}

impl RecentJobs {
    /// Creates an empty list that forgets a job after the retention time.
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            accepted_at: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Adds a job. The retention of a job that is accepted again begins anew.
    pub fn add(&mut self, id: JobId, now: Instant) {
        while let Some((at, oldest)) = self.by_age.front().copied() {
            if now.duration_since(at) <= self.retention {
                break;
            }
            self.by_age.pop_front();
            if self.accepted_at.get(&oldest) == Some(&at) {
                self.accepted_at.remove(&oldest);
            }
        }
        self.accepted_at.insert(id, now);
        self.by_age.push_back((now, id));
    }

    /// Returns whether this host accepted a job within the retention time.
    pub fn contains(&self, id: JobId, now: Instant) -> bool {
        let accepted_at = self.accepted_at.get(&id);
        accepted_at.is_some_and(|at| now.duration_since(*at) <= self.retention)
    }
}
