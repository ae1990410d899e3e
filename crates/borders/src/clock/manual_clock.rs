use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::Clock;

/// A clock for tests that advances only on request. Both of its times start at 0.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: AtomicU64,
}

impl ManualClock {
    /// Advances both times by `by_ms` milliseconds.
    pub fn advance_ms(&self, by_ms: u64) {
        self.now_ms.fetch_add(by_ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn monotonic_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }

    fn unix_ms(&self) -> u64 {
        self.now_ms.load(Ordering::SeqCst)
    }
}
