use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Tells a caller whether a request may have been executed, and so whether a retry is safe.
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
    /// The receiver certainly did not execute the request; a retry is safe.
    NotRun,
    /// The receiver may have executed the request; only an idempotent request may be retried.
    MayHaveRun,
    /// The receiver executed the request and answered; a retry is never allowed.
    Ran,
}

impl Verdict {
    /// Name of the HTTP response header that carries the verdict.
    pub const HEADER: &str = "x-dotterelhook-verdict";

    /// Returns whether a request with this verdict may be retried.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}

/// The failure of a call to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Whether the receiver may have executed the call.
    pub verdict: Verdict,
    /// The cause of the failure, as one short sentence.
    pub cause: Box<str>,
    /// Whether the receiver's host refused the connection: no process listens at the address.
    pub is_without_listener: bool,
}

impl CallError {
    /// Creates an error for a call that the receiver certainly did not execute.
    pub fn not_run(cause: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            cause: cause.into(),
            is_without_listener: false,
        }
    }

    /// Creates an error for a call that the receiver may have executed.
    pub fn may_have_run(cause: impl Into<Box<str>>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(cause)
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause, self.verdict)
    }
}

impl Error for CallError {}
