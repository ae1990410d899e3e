use std::fmt;
use std::time::Duration;

/// Why a record is refused instead of waiting for an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The record can't be stored by its deadline.
    TooLate {
        /// The expected time until the record is stored.
        needed: Duration,
        /// The time until the deadline.
        left: Duration,
    },
    /// As many records wait as may wait.
    Full {
        /// The number of waiting records.
        waiting: usize,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLate { needed, left } => write!(
                f,
                "the store needs {} ms for the record, and {} ms are left",
                needed.as_millis(),
                left.as_millis()
            ),
            Self::Full { waiting } => write!(f, "{waiting} records wait for the store"),
        }
    }
}
