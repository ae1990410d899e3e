use std::time::Duration;

use tokio::time::Instant;

/// How much slower than ours an executor's clock may run.
const DRIFT: f64 = 0.02;
/// Added to the wait for lapsed leases, for timers that fire late on the executor.
const LAPSE_SLACK: Duration = Duration::from_millis(100);

/// The newest reading of an executor's steady clock.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorClock {
    executor_ms: u64,
    seen_at: Instant,
}

impl ExecutorClock {
    /// Notes a reading that arrived now.
    pub fn new(executor_ms: u64, seen_at: Instant) -> Self {
        Self {
            executor_ms,
            seen_at,
        }
    }

    /// Keeps the later of two readings, since answers may overtake each other.
    pub fn later(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.executor_ms > self.executor_ms => other,
            _ => self,
        }
    }

    /// Returns when the reading arrived.
    pub fn seen_at(&self) -> Instant {
        self.seen_at
    }

    /// Returns the end of a lease that begins with this reading, on the executor's clock.
    pub fn lease_end_ms(&self, lease: Duration) -> u64 {
        self.executor_ms + lease.as_millis() as u64
    }

    /// Returns when all leases are over for certain.
    ///
    /// The executor read its clock before the answer arrived, and no lease was named beyond this
    /// reading plus `lease`.
    pub fn lapsed_at(&self, lease: Duration) -> Instant {
        self.seen_at + Self::lapse_after(lease)
    }

    /// Returns after how long a lease given on an answer is over on any executor's clock.
    pub fn lapse_after(lease: Duration) -> Duration {
        lease.mul_f64(1.0 + DRIFT) + LAPSE_SLACK
    }
}
