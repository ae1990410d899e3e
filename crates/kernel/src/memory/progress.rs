use std::time::Duration;

use tokio::time::Instant;

/// The time after which a connection without progress counts as stalled.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The rate below which a connection falls behind.
const RATE_MIN_BYTES_PER_S: u64 = 16 << 10;

/// Measures whether bytes move fast enough over a connection.
///
/// Each byte earns the time that it takes at the lowest rate, and at most [`STALL_TIMEOUT`] is kept. Single
/// bytes now and then therefore don't count as progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    stalled_at: Instant,
}

impl Progress {
    /// Begins an exchange, which has the whole time.
    pub(super) fn begin(now: Instant) -> Self {
        Self {
            stalled_at: now + STALL_TIMEOUT,
        }
    }

    /// Records bytes that were received or sent.
    pub(super) fn record(&mut self, bytes: usize, now: Instant) {
        let earned_ms = bytes as u64 * 1_000 / RATE_MIN_BYTES_PER_S;
        let stalled_at = self.stalled_at.max(now) + Duration::from_millis(earned_ms);
        self.stalled_at = stalled_at.min(now + STALL_TIMEOUT);
    }

    /// Returns the time from which the connection counts as stalled, without further progress.
    pub(super) fn stalled_at(&self) -> Instant {
        self.stalled_at
    }
}
