use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use super::Clock;

/// The operating system's clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started_at: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64
    }
}
