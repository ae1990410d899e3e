//! The clock of the daemons.

use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::clock::SystemClock;

/// Guards against a wrong unit or sign after a change of the time source. That the time includes
/// suspensions follows from the source and can't be tested without suspending the host.
#[test]
fn the_monotonic_time_starts_at_zero_and_advances_with_the_time_that_passes() {
    let clock = SystemClock::new();
    let start_ms = clock.monotonic_ms();

    std::thread::sleep(Duration::from_millis(50));
    let elapsed_ms = clock.monotonic_ms() - start_ms;

    assert!(start_ms < 1_000, "{start_ms}");
    assert!((50..10_000).contains(&elapsed_ms), "{elapsed_ms}");
}
