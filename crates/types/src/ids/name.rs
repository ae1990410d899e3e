use std::borrow::Borrow;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

const NAME_MAX_BYTES: usize = 63;

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameError {
    text: Box<str>,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: 1 to {NAME_MAX_BYTES} of a-z, 0-9, '-', '_' and '.', \
             starting with a letter or digit",
            self.text
        )
    }
}

impl Error for NameError {}

pub(super) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    text.len() <= NAME_MAX_BYTES
        && text.bytes().all(allowed)
        && text
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
}

pub(super) fn check_name(text: &str) -> Result<Box<str>, NameError> {
    if is_name(text) {
        Ok(text.into())
    } else {
        Err(NameError { text: text.into() })
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                check_name(&text).map(Self)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text).map(Self)
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// An entry host that runs daemons.
    HostId
);
name_type!(
    /// A group of hosts that can be cut off together.
    FailureDomain
);
name_type!(
    /// A group of failure domains.
    RegionName
);
name_type!(
    /// A rack of workers.
    RackId
);
name_type!(
    /// A host that runs tasks under leases.
    WorkerId
);
name_type!(
    /// One executor of a latency-critical service.
    TargetId
);
name_type!(
    /// A team, which owns a subtree of the configuration.
    TeamName
);
name_type!(
    /// A latency-critical service.
    ServiceName
);
name_type!(
    /// A declared batch job.
    JobName
);
name_type!(
    /// One run of a batch job, named by its submitter.
    RunId
);
