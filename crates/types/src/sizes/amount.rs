use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A parse error: the text is not a whole number of the expected unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AmountError {
    text: Box<str>,
    unit: &'static str,
}

impl fmt::Display for AmountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a whole number of {}", self.text, self.unit)
    }
}

impl Error for AmountError {}

macro_rules! amount_type {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = AmountError;

            fn from_str(text: &str) -> Result<Self, AmountError> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let amount = digits.parse().map_err(|_| AmountError {
                    text: text.into(),
                    unit: $unit,
                })?;
                Ok(Self(amount))
            }
        }
    };
}

amount_type!(
    /// Processor capacity, in thousandths of a core.
    CpuMilli,
    "m"
);
amount_type!(
    /// Memory, in megabytes of 10^6 bytes.
    MemoryMb,
    "MB"
);
amount_type!(
    /// A number of accelerators.
    Accelerators,
    ""
);
amount_type!(
    /// A rate, in events per second.
    PerSecond,
    "/s"
);
