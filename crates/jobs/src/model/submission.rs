use serde::Deserialize;
use serde::Serialize;

use super::FailureDomainName;
use super::JobSpec;
use super::QueueConfig;

/// The stored record of an accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue's configuration at acceptance; applies once the queue has been removed.
    pub queue: QueueConfig,
    /// The job as the client specified it.
    pub spec: JobSpec,
    /// The time of acceptance on the accepting host's clock, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// The failure domain of the accepting host. Its place in the record is outside of this
    /// structure, which former versions read.
    #[serde(skip)]
    pub entry_domain: Option<FailureDomainName>,
}
