use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_types::ids::Incarnation;

/// A worker's newest answer to this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    /// When the answer arrived, by the owner's monotonic clock.
    pub(crate) at_ms: u64,
    /// The worker's clock when it answered.
    pub(crate) worker_now_ms: u64,
    /// The worker's incarnation.
    pub(crate) incarnation: Incarnation,
}

/// What this owner has heard from a worker since it took the shard over.
///
/// Every lease end that the owner names is the worker's clock in the newest answer plus the
/// lease. The answer is stored before an end is derived from it, so the leases are over one
/// lease, lengthened by the drift, after `at_ms`.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    answer: Mutex<Option<Answer>>,
}

impl Contact {
    /// Returns the newest answer; none before the first one.
    pub(crate) fn answer(&self) -> Option<Answer> {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a newer answer.
    pub(crate) fn store(&self, answer: Answer) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
    }

    /// Returns the lease end to name now, in the worker's clock.
    pub(crate) fn lease_until_ms(&self, lease: Duration) -> Option<u64> {
        let answer = self.answer()?;
        Some(answer.worker_now_ms + lease.as_millis() as u64)
    }
}
