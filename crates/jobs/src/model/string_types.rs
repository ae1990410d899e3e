use std::borrow::Borrow;
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

macro_rules! string_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the value as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl FromStr for $name {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self(text.into()))
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

string_type!(
    /// The name of a queue, to which clients submit jobs.
    QueueName
);
string_type!(
    /// The id of a pool of executors, which runs the tasks of one or more queues.
    ServiceId
);
string_type!(
    /// The id of an executor, which stays the same over restarts.
    ExecutorId
);
string_type!(
    /// A property of an executor, such as its kind or its rack.
    Label
);
string_type!(
    /// The name of the program that tasks run; tasks of one image behave alike.
    ImageName
);
string_type!(
    /// A saved state, opaque to the scheduler, from which a later run of the same task can resume.
    Checkpoint
);
string_type!(
    /// The name of a failure domain.
    FailureDomainName
);

/// The length up to which the name of an image is kept. Learned loads are kept by name, beyond the jobs.
const IMAGE_NAME_MAX_BYTES: usize = 128;

impl ImageName {
    /// Creates the name of an image; a long text is replaced by its hash.
    pub fn shortened(text: &str) -> Self {
        if text.len() <= IMAGE_NAME_MAX_BYTES {
            return text.into();
        }
        let hash = rapidhash_v3(text.as_bytes());
        Self(format!("{hash:016x}").into())
    }
}
