use std::time::Duration;

use tokio::time::Instant;

/// How long an executor may be missing from the list before it counts as gone. Entries that expired
/// during an outage of the store are back within this time.
const MISSING_MAX: Duration = Duration::from_secs(2);

/// Whether the platform lists an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The platform lists the executor.
    Listed,
    /// The entry is missing, and may have expired although the executor lives.
    Missing {
        /// When the entry was found missing.
        since: Instant,
    },
    /// The entry names no usable executor.
    Unreadable,
}

impl Listing {
    /// Returns whether the executor must get no new runs because it isn't listed.
    pub fn is_gone(self, now: Instant) -> bool {
        match self {
            Self::Listed => false,
            Self::Missing { since } => now.duration_since(since) > MISSING_MAX,
            Self::Unreadable => true,
        }
    }
}
