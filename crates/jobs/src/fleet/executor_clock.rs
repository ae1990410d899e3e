use std::time::Duration;

use tokio::time::Instant;

/// The largest relative drift of an executor's clock behind this host's clock.
const DRIFT_MAX: f64 = 0.02;
/// Added to the wait for expired leases, because timers may fire late on the executor.
const TIMER_SLACK: Duration = Duration::from_millis(100);

/// The newest reading of an executor's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorClock {
    executor_ms: u64,
    seen_at: Instant,
}

impl ExecutorClock {
    /// Creates a reading, in milliseconds of the executor's clock, that arrived at `seen_at`.
    pub fn new(executor_ms: u64, seen_at: Instant) -> Self {
        Self {
            executor_ms,
            seen_at,
        }
    }

    /// Returns the later of two readings, because answers may arrive out of order.
    pub fn later(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.executor_ms > self.executor_ms => other,
            _ => self,
        }
    }

    /// Returns when the reading arrived, on this host's clock.
    pub fn seen_at(&self) -> Instant {
        self.seen_at
    }

    /// Returns the end of a lease that starts at this reading, in milliseconds of the executor's
    /// clock.
    pub fn lease_end_ms(&self, lease: Duration) -> u64 {
        self.executor_ms.saturating_add(lease.as_millis() as u64)
    }

    /// Returns the reading that the executor's clock has reached for certain at a time of this host's
    /// clock.
    pub fn earliest_ms_at(&self, time: Instant) -> u64 {
        let elapsed = time.saturating_duration_since(self.seen_at);
        let elapsed_ms = elapsed.mul_f64(1.0 - DRIFT_MAX).as_millis() as u64;
        self.executor_ms.saturating_add(elapsed_ms)
    }

    /// Returns when all leases have expired for certain, on this host's clock.
    ///
    /// The executor read its clock before the answer arrived, and no lease ends later than this
    /// reading plus `lease`.
    pub fn lapsed_at(&self, lease: Duration) -> Instant {
        self.seen_at + Self::lapse_after(lease)
    }

    /// Returns the time after an answer at which a lease has expired on the clock of any executor.
    pub fn lapse_after(lease: Duration) -> Duration {
        lease.mul_f64(1.0 + DRIFT_MAX) + TIMER_SLACK
    }
}
