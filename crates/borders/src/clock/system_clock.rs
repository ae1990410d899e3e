use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use super::Clock;

/// The operating system's clocks.
///
/// The monotonic time includes the time for which the host was suspended: permissions that other
/// processes rely on, such as the renewal right of a shard's owner, must expire meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    /// The time since the host booted.
    started_at: Duration,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn new() -> Self {
        Self {
            started_at: time_since_boot(),
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
        time_since_boot()
            .saturating_sub(self.started_at)
            .as_millis() as u64
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
