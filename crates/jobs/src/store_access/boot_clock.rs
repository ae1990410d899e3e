use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the host started, counting the time that it was suspended.
///
/// Rights that others rely on are measured with it: the steady clock stands still while the host
/// is suspended.
pub fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
