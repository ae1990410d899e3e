use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_types::ids::Incarnation;

/// An answer of a worker to this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerAnswer {
    /// When the answer arrived, in milliseconds of the owner's monotonic clock.
    pub(crate) at_ms: u64,
    /// The worker's clock at the time of the answer, in milliseconds.
    pub(crate) worker_now_ms: u64,
    /// The worker's incarnation.
    pub(crate) incarnation: Incarnation,
}

/// The newest answer of a worker since this owner took over the shard.
///
/// The owner computes each lease end from the newest answer: the worker's clock plus the lease.
/// The answer is stored before a lease end is derived from it. All leases have therefore expired
/// one lease, plus the clock drift, after `at_ms`.
#[derive(Debug, Default)]
pub(crate) struct LatestAnswer {
    answer: Mutex<Option<WorkerAnswer>>,
}

impl LatestAnswer {
    /// Returns the newest answer; `None` before the first one.
    pub(crate) fn get(&self) -> Option<WorkerAnswer> {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, answer: WorkerAnswer) {
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
    }

    /// Returns the end of a lease granted now, in milliseconds of the worker's clock.
    pub(crate) fn next_lease_until_ms(&self, lease: Duration) -> Option<u64> {
        let answer = self.get()?;
        Some(answer.worker_now_ms + lease.as_millis() as u64)
    }
}
