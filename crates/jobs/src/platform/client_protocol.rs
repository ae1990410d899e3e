use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;

use crate::model::JobSpec;
use crate::model::JobSpecError;
use crate::model::JobState;

/// The operation that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Submit a job. A client that lost the answer may submit the same job id again.
    Submit,
    /// Read the state of a job or the length of a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// An operation that the protocol does not define.
    Other,
}

/// The decoded head of a client's HTTP request.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// The requested operation.
    pub kind: CallKind,
    /// The host name that the request was sent to.
    pub host: Box<str>,
    /// The path of the request.
    pub path: Box<str>,
    /// How long the client waits for an answer, if the request says so.
    pub wait: Option<Duration>,
}

/// The answer to a client's call, before its encoding as an HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// The submission is stored.
    Accepted,
    /// The cancellation is stored.
    CancelAccepted,
    /// The current state of the job.
    State(JobState),
    /// The number of jobs in the queue that have not started.
    PendingCount(u64),
    /// No queue is configured for the host and path.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The call is malformed, with a description of the fault.
    Malformed(Box<str>),
    /// The submission is larger than what can be stored, with the sizes. It will not succeed later.
    TooLarge(Box<str>),
    /// The queue does not support the HTTP method.
    NoSuchMethod,
    /// The call had no effect and may succeed later.
    NotDone {
        /// Why the call failed.
        cause: Box<str>,
        /// How long the client should wait before a retry.
        retry_after: Duration,
    },
    /// The call may have taken effect. The client may safely repeat the same call.
    Unknown(Box<str>),
}

/// The HTTP protocol of the platform's clients.
pub trait ClientProtocol: Send + Sync {
    /// Decodes the head of a request.
    fn decode_head(&self, head: &Parts) -> ClientCall;

    /// Decodes the body of a submission.
    ///
    /// # Errors
    /// The body is malformed or the job breaks a limit; the error describes the fault.
    fn decode_job(&self, body: &[u8]) -> Result<JobSpec, JobSpecError>;

    /// Encodes an answer as an HTTP response.
    fn encode(&self, reply: &ClientReply) -> Response<Bytes>;
}
