use std::sync::Arc;

use tokio::time::Instant;

use super::Evacuations;
use crate::model::FailureDomainName;

/// What a process knows of the operators' requests at one moment.
#[derive(Clone, Debug, Default)]
pub struct ViewSnapshot {
    /// The evacuations in force.
    pub evacuations: Arc<Evacuations>,
    /// The time from which on nothing may start, because a request may have gone unnoticed. `None`
    /// if the age of the view isn't limited.
    pub valid_until: Option<Instant>,
}

impl ViewSnapshot {
    /// Returns whether the view is too old for any start.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }

    /// Returns whether tasks may start in a failure domain.
    pub fn permits_start(&self, domain: &FailureDomainName, now: Instant) -> bool {
        !self.is_stale(now) && !self.evacuations.contains(domain)
    }
}
