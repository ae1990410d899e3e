//! The core of the daemon process: service life cycle, a registry of service handles by name,
//! HTTP servers, the account of clients' bytes, metrics and buffered log output.

pub mod http;
mod kernel;
mod line_buffer;
pub mod memory;
mod metrics;
mod registry;
mod service;

pub use kernel::Kernel;
pub use line_buffer::LineBuffer;
pub use metrics::Metrics;
pub use registry::Registry;
pub use service::Service;

/// Registry names of the services' handles.
pub mod names {
    /// `dyn ConfigView`: the configuration in force.
    pub const CONFIG: &str = "config";
    /// `dyn MembershipView`: the live daemons.
    pub const MEMBERSHIP: &str = "membership";
    /// `dyn HostView`: the platform's host list as of the last read.
    pub const HOSTS: &str = "hosts";
    /// `dyn Log`: the client of the platform's log.
    pub const LOG: &str = "log";
    /// `dyn Clock`: the source of time.
    pub const CLOCK: &str = "clock";
    /// `Metrics`: the process-wide metrics registry.
    pub const METRICS: &str = "metrics";
    /// `PeerHandlers`: the handlers of calls from other daemons.
    pub const PEER_HANDLERS: &str = "peer-handlers";
    /// `PeerClient`: the client for calls to other daemons.
    pub const PEER_CLIENT: &str = "peer-client";
    /// `FrontHandle`: the running front.
    pub const FRONT: &str = "front";
    /// `BurnTracker`: the request counts behind the services' burn rates.
    pub const BURN: &str = "burn";
    /// `dyn RunLister`: the runs of all shards of the failure domain, whichever process owns them.
    pub const RUNS: &str = "runs";
}
