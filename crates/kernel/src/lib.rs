//! A small kernel: it starts named services, and services find each other's handles by name.

pub mod http;
mod kernel;
mod line_buffer;
mod metrics;
mod registry;
mod service;

pub use kernel::Kernel;
pub use line_buffer::LineBuffer;
pub use metrics::Metrics;
pub use registry::Registry;
pub use service::Service;

/// Names under which services provide their handles.
pub mod names {
    /// `dyn ConfigView`: the configuration in force.
    pub const CONFIG: &str = "config";
    /// `dyn MembershipView`: the daemons that are alive.
    pub const MEMBERSHIP: &str = "membership";
    /// `dyn HostView`: the platform's list of hosts as last read.
    pub const HOSTS: &str = "hosts";
    /// `dyn Log`: the platform's log.
    pub const LOG: &str = "log";
    /// `dyn Clock`: the time.
    pub const CLOCK: &str = "clock";
    /// `Metrics`: the registry of metrics.
    pub const METRICS: &str = "metrics";
    /// `PeerHandlers`: the calls that other daemons may make.
    pub const PEER_HANDLERS: &str = "peer-handlers";
    /// `PeerClient`: calls to other daemons.
    pub const PEER_CLIENT: &str = "peer-client";
    /// `FrontHandle`: the running front.
    pub const FRONT: &str = "front";
    /// `BurnTracker`: how far services keep their objectives.
    pub const BURN: &str = "burn";
    /// `dyn RunLedger`: the runs of the shards that this process owns.
    pub const RUNS: &str = "runs";
}
