use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the host booted, including the time that the host was suspended.
///
/// Time limits that other processes rely on must use this clock: the monotonic clock stops while
/// the host is suspended.
pub fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
