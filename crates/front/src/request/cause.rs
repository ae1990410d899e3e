use std::error::Error;
use std::fmt;

use dotterelhook_types::Verdict;
use hyper::StatusCode;

/// The cause of a request's refusal, retry or failure.
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
    /// No service is configured for the path.
    NoService,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The request body did not arrive in time.
    BodyTimeout,
    /// The request body broke off.
    BodyIncomplete,
    /// The front's memory for request bodies is used up.
    MemoryLimit,
    /// The front is at the admission limit of the request's priority.
    Priority,
    /// The expected wait in the service's queue exceeds the limit.
    QueueFull,
    /// The request waited in the queue until its limit.
    QueueTimeout,
    /// The service has no usable target.
    NoTarget,
    /// No connection to the target could be established.
    ConnectFailed,
    /// The target has no free slot.
    TargetFull,
    /// The target is draining.
    TargetDraining,
    /// The connection broke after the request may have been sent.
    ConnectionBroken,
    /// The target did not answer within the service's timeout.
    Timeout,
    /// The target's answer broke off.
    AnswerIncomplete,
    /// The target's answer has no reliable end, or belongs to another request.
    AnswerInvalid,
    /// The request cannot be forwarded as it is.
    RequestInvalid,
    /// The target answered with a server error.
    ServerError,
    /// Another front could not be reached, or its answer was lost.
    PeerFailed,
    /// The idempotency key was used before, and no answer to it can be repeated.
    KeyConflict,
    /// The home front of the idempotency key is uncertain.
    KeyHomeUnknown,
}

impl Cause {
    /// Returns the label used in headers, metrics and reports, in kebab case.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns whether the failure counts against the service's objective.
    ///
    /// Failures that the caller brought about do not.
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

    /// Returns whether another failure domain may be able to serve the request.
    pub fn allows_forwarding(self) -> bool {
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

    /// Returns the HTTP status of the answer to a request that failed with this cause.
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

/// The failure of a request, with the verdict on whether a target may have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Why the request failed.
    pub cause: Cause,
    /// Whether a target may have run the request, over all attempts so far.
    pub verdict: Verdict,
    /// A short description of the failure for the caller and the log.
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
