use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;

use crate::model::JobSpec;
use crate::model::JobState;
use crate::model::SpecError;

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallKind {
    /// Submit a job, or ask for it by its id after a lost answer.
    Submit,
    /// Tell a job's state, or a queue's length.
    Read,
    /// Cancel a job.
    Cancel,
    /// Nothing that the protocol knows.
    Other,
}

/// The head of a client's call.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// What it asks for.
    pub kind: CallKind,
    /// The host name that it was sent to.
    pub host: Box<str>,
    /// Its path.
    pub path: Box<str>,
    /// How long the client waits.
    pub wait: Option<Duration>,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// The job is stored.
    Accepted,
    /// The cancellation is stored.
    CancelAccepted,
    /// The job's state.
    State(JobState),
    /// The number of the queue's jobs that have not begun.
    PendingCount(u64),
    /// No queue is configured for the path.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The call is malformed.
    Malformed(Box<str>),
    /// The queue knows no such method.
    NoSuchMethod,
    /// Not done; it is worth coming back after the given time.
    NotDone {
        /// Why.
        cause: Box<str>,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have been done; the same call may be repeated.
    Unknown(Box<str>),
}

/// The protocol of the platform's clients.
pub trait ClientProtocol: Send + Sync {
    /// Reads the head of a call.
    fn decode_head(&self, head: &Parts) -> ClientCall;

    /// Reads a submission.
    ///
    /// # Errors
    /// Says what is wrong with the body.
    fn decode_job(&self, body: &[u8]) -> Result<JobSpec, SpecError>;

    /// Writes an answer.
    fn encode(&self, answer: &ClientReply) -> Response<Bytes>;
}
