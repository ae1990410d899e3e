//! Time, behind a trait so that tests can set it.

mod manual_clock;
mod system_clock;

pub use manual_clock::ManualClock;
pub use system_clock::SystemClock;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the milliseconds since some fixed moment; never goes back.
    fn monotonic_ms(&self) -> u64;

    /// Returns the Unix time in milliseconds; may jump.
    fn unix_ms(&self) -> u64;
}
