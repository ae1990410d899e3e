//! The platform's list of hosts. The list lags behind the actual hosts.

mod http_host_list;
mod memory_host_list;

use std::net::SocketAddr;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RackId;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::TargetId;
use dotterelhook_types::ids::WorkerId;
pub use http_host_list::HttpHostList;
pub use memory_host_list::MemoryHostList;
use serde::Deserialize;
use serde::Serialize;

/// The life-cycle state of a target or worker.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// The host accepts work.
    #[default]
    Live,
    /// The host is about to leave and accepts no new work.
    Leaving,
}

/// A target in the host list: one instance of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The id of the target.
    pub target: TargetId,
    /// The service that the target serves.
    pub service: ServiceName,
    /// The address at which the target accepts requests.
    pub address: SocketAddr,
    /// The failure domain that the target belongs to.
    pub failure_domain: FailureDomain,
    /// The worker that the target runs on.
    pub worker: WorkerId,
    /// The number of requests that the target processes concurrently.
    pub slots: u32,
    /// The number of concurrent connections that the target accepts.
    pub connections_max: u32,
    /// Whether the target accepts new requests; live if absent.
    #[serde(default)]
    pub state: HostState,
}

/// A worker in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The address at which the worker's agent accepts calls.
    pub address: SocketAddr,
    /// The failure domain that the worker belongs to.
    pub failure_domain: FailureDomain,
    /// The rack that contains the worker.
    pub rack: RackId,
    /// Whether the worker accepts new attempts; live if absent.
    #[serde(default)]
    pub state: HostState,
}

/// The content of the host list at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// The targets of all services.
    pub targets: Vec<TargetEntry>,
    /// The workers for batch tasks.
    pub workers: Vec<WorkerEntry>,
}

/// A client of the platform's host list.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list. The result may be stale.
    ///
    /// # Errors
    /// The list is unreachable, did not answer in time or sent an invalid answer.
    async fn read(&self) -> Result<HostSnapshot, CallError>;
}
