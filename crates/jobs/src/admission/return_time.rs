use std::time::Duration;

/// The longest wait, as a multiple of the shortest: a client must notice the end of an outage.
const WAIT_MAX_FACTOR: u32 = 2;

/// Returns when a client that is refused during an outage of the given age should return.
///
/// An outage that has lasted long is likely to last on, and a client has few attempts. Waiting for as
/// long as the outage has lasted makes the same attempts outlast a longer one. Clients that were
/// refused first return first, at the rate at which they came.
pub fn return_time(shortest: Duration, outage_age: Duration) -> Duration {
    outage_age.clamp(shortest, longest_return_time(shortest))
}

/// Returns the longest wait of a client that is refused: room for accepted jobs gets free only when some of
/// them end.
pub fn longest_return_time(shortest: Duration) -> Duration {
    shortest * WAIT_MAX_FACTOR
}
