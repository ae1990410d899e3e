//! Time sources behind a trait, so that tests can control the time.

mod manual_clock;
mod system_clock;

pub use manual_clock::ManualClock;
pub use system_clock::SystemClock;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since an arbitrary fixed instant. The value never
    /// decreases, and includes the time for which the host was suspended.
    fn monotonic_ms(&self) -> u64;

    /// Returns the Unix time in milliseconds. The value may jump in either direction.
    fn unix_ms(&self) -> u64;
}
