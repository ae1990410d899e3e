use std::error::Error;
use std::fmt;

/// The refusal of a reservation, with the figures of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// The size of the refused reservation.
    pub needed_bytes: usize,
    /// The bytes that were reserved.
    pub used_bytes: usize,
    /// The bytes that may be reserved together.
    pub capacity_bytes: usize,
}

impl fmt::Display for MemoryShortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            needed_bytes,
            used_bytes,
            capacity_bytes,
        } = self;
        write!(
            f,
            "no memory for {needed_bytes} bytes, with {used_bytes} of {capacity_bytes} in use"
        )
    }
}

impl Error for MemoryShortage {}
