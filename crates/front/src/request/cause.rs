use std::error::Error;
use std::fmt;

use dotterelhook_types::Verdict;
use hyper::StatusCode;

/// Why a request was refused, was tried again or failed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// No service has the path.
    NoService,
    /// The request's body is larger than allowed.
    BodyTooLarge,
    /// The request's body did not arrive in time.
    BodyTimeout,
    /// The request's body broke off.
    BodyIncomplete,
    /// The front holds as many bytes of request bodies as it may.
    MemoryLimit,
    /// The front holds as many requests as its priority allows.
    Priority,
    /// The service's queue would not have let the request through in time.
    QueueFull,
    /// The request waited in the queue as long as it may.
    QueueTimeout,
    /// The service has no usable target.
    NoTarget,
    /// No connection to the target was made.
    ConnectFailed,
    /// The target has no free slot.
    TargetFull,
    /// The target is about to leave.
    TargetDraining,
    /// The connection broke after the request may have been sent.
    ConnectionBroken,
    /// The target did not answer within the service's timeout.
    Timeout,
    /// The target's answer broke off.
    AnswerIncomplete,
    /// The target's answer can't be told from a broken one, or is another request's.
    AnswerInvalid,
    /// The request itself can't be passed on.
    RequestInvalid,
    /// The target answered with a server error.
    ServerError,
    /// Another front couldn't be reached, or its answer was lost.
    PeerFailed,
    /// The key was used before, and its answer can't be given again.
    KeyConflict,
    /// It isn't certain which front keeps the key.
    KeyHomeUnknown,
}

impl Cause {
    /// Returns the name used in headers, metrics and reports.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns whether the service missed its objective, and not the caller its part.
    pub fn counts_against_objective(self) -> bool {
        !matches!(
            self,
            Self::NoService
                | Self::BodyTooLarge
                | Self::BodyTimeout
                | Self::BodyIncomplete
                | Self::RequestInvalid
                | Self::KeyConflict
        )
    }

    /// Returns whether another failure domain may serve what this one can't.
    pub fn may_differ_elsewhere(self) -> bool {
        matches!(
            self,
            Self::QueueFull
                | Self::QueueTimeout
                | Self::NoTarget
                | Self::ConnectFailed
                | Self::TargetFull
                | Self::TargetDraining
        )
    }

    /// Returns the status of the answer for a request that ended so.
    pub fn status(self, verdict: Verdict) -> StatusCode {
        match self {
            Self::NoService => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::BodyIncomplete | Self::RequestInvalid => StatusCode::BAD_REQUEST,
            Self::Priority => StatusCode::TOO_MANY_REQUESTS,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::KeyConflict => StatusCode::CONFLICT,
            _ if verdict == Verdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A request that got no answer from a target, with the verdict on whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Why.
    pub cause: Cause,
    /// Whether a target may have run it.
    pub verdict: Verdict,
    /// What went wrong, as one short sentence.
    pub detail: Box<str>,
}

impl RequestError {
    /// Creates the error of a request that no target ran.
    pub fn not_run(cause: Cause, detail: impl Into<Box<str>>) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
            detail: detail.into(),
        }
    }

    /// Creates the error of a request that a target may have run.
    pub fn may_have_run(cause: Cause, detail: impl Into<Box<str>>) -> Self {
        Self {
            cause,
            verdict: Verdict::MayHaveRun,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.cause, self.detail, self.verdict)
    }
}

impl Error for RequestError {}
