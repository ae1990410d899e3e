use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number_type!(
    /// The position of a record in a stream of the log.
    Offset
);
number_type!(
    /// The generation of a shard's ownership; each accepted claim increments the epoch.
    Epoch
);
number_type!(
    /// Distinguishes a restarted process or host from its previous instance; increases with each
    /// restart.
    Incarnation
);
number_type!(
    /// A writer's sequence number; a stream's reader uses it to discard duplicate appends.
    Sequence
);
