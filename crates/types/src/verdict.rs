use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run at the receiver.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The receiver certainly did not run the request; a retry is safe.
    NotRun,
    /// The outcome is unknown; only an idempotent request may be retried.
    MayHaveRun,
    /// The receiver ran the request and answered.
    Ran,
}

impl Verdict {
    /// The header by which HTTP answers carry the verdict.
    pub const HEADER: &str = "x-dotterelhook-verdict";

    /// Returns whether a request that ended so may be sent again.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}

/// A failed call to another process, with the verdict on whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// What went wrong, as one short sentence.
    pub cause: Box<str>,
}

impl CallError {
    /// Creates an error for a call that certainly did not take effect.
    pub fn not_run(cause: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause: cause.into(),
        }
    }

    /// Creates an error for a call whose effect is unknown.
    pub fn may_have_run(cause: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            cause: cause.into(),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl Error for CallError {}
