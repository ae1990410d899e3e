use std::borrow::Borrow;
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! text_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
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

text_type!(
    /// A queue that takes jobs.
    QueueName
);
text_type!(
    /// A pool of executors that runs the tasks of one or more queues.
    ServiceId
);
text_type!(
    /// One executor; it may restart under the same id.
    ExecutorId
);
text_type!(
    /// A property of an executor, such as its kind or its rack.
    Label
);
text_type!(
    /// What the tasks of a step run; tasks of one image behave alike.
    ImageName
);
text_type!(
    /// A saved state from which a task can resume.
    Checkpoint
);
text_type!(
    /// A failure domain.
    FailureDomainName
);
