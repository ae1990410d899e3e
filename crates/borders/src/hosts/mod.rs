//! The platform's list of hosts, which lags behind the truth.

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

/// Whether a host stays.
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
    /// The host takes work.
    #[default]
    Live,
    /// The host is about to leave and takes no new work.
    Leaving,
}

/// One executor of a service, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target.
    pub target: TargetId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The worker that it runs on.
    pub worker: WorkerId,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of connections that it takes.
    pub connections_max: u32,
    /// Whether it stays.
    #[serde(default)]
    pub state: HostState,
}

/// One worker, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Where its agent takes calls.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its rack.
    pub rack: RackId,
    /// Whether it stays.
    #[serde(default)]
    pub state: HostState,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// All targets.
    pub targets: Vec<TargetEntry>,
    /// All workers.
    pub workers: Vec<WorkerEntry>,
}

/// The platform's list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list; it may be out of date.
    ///
    /// # Errors
    /// The list can't be reached or did not answer in time.
    async fn read(&self) -> Result<HostSnapshot, CallError>;
}
