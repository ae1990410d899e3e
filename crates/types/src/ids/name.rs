use std::borrow::Borrow;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

const NAME_MAX_BYTES: usize = 63;

/// A parse error: the text has a wrong length or characters outside the permitted set.
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

pub(super) fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    text.len() <= NAME_MAX_BYTES
        && text.bytes().all(allowed)
        && text
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
}

pub(super) fn validate_name(text: &str) -> Result<Box<str>, NameError> {
    if is_valid_name(text) {
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
            /// Returns the validated text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                validate_name(&text).map(Self)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate_name(text).map(Self)
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
    /// Identifies an entry host, which runs the daemon.
    HostId
);
name_type!(
    /// Names a group of hosts that can lose connectivity together.
    FailureDomain
);
name_type!(
    /// Names a group of failure domains.
    RegionName
);
name_type!(
    /// Identifies a rack of workers.
    RackId
);
name_type!(
    /// Identifies a worker: a host that runs tasks under leases.
    WorkerId
);
name_type!(
    /// Identifies a target: one executor of a latency-critical service.
    TargetId
);
name_type!(
    /// Names a team, which owns one subtree of the configuration.
    TeamName
);
name_type!(
    /// Names a latency-critical service.
    ServiceName
);
name_type!(
    /// Names a batch job within its team.
    JobName
);
name_type!(
    /// Identifies one run of a batch job; chosen by the submitter.
    RunId
);
