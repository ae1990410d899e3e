use serde::Deserialize;
use serde::Serialize;

use super::JobSpec;
use super::QueueConfig;

/// An accepted job as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue's terms when the job was accepted; they hold on if the queue is dropped.
    pub queue: QueueConfig,
    /// What the client submitted.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since 1970 on the accepting host's clock.
    pub accepted_unix_ms: u64,
}
