use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::HostId;
use serde::Deserialize;

use super::LogFormat;
use super::LogLevel;

/// The settings file of an entry host's daemon, decoded but not checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub(super) host: HostId,
    pub(super) failure_domain: FailureDomain,
    /// Absent if the machine's own figure holds.
    pub(super) memory_mb: Option<u64>,
    pub(super) admin_address: SocketAddr,
    pub(super) platform: RawPlatform,
    pub(super) peers: RawPeers,
    pub(super) front: Option<RawFront>,
    pub(super) scheduler: Option<RawScheduler>,
    #[serde(default)]
    pub(super) stop: RawStop,
    #[serde(default)]
    pub(super) log: RawLog,
}

/// The section `platform`: the addresses of the users' platform and the limits of its calls.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPlatform {
    pub(super) log_address: SocketAddr,
    pub(super) host_list_address: SocketAddr,
    #[serde(default = "defaults::call_timeout_ms")]
    pub(super) call_timeout_ms: u64,
    #[serde(default = "defaults::host_poll_ms")]
    pub(super) host_poll_ms: u64,
}

/// The section `peers`: heartbeats and digests between daemons.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPeers {
    pub(super) listen_address: SocketAddr,
    #[serde(default)]
    pub(super) seed_addresses: Vec<SocketAddr>,
    #[serde(default = "defaults::heartbeat_interval_ms")]
    pub(super) heartbeat_interval_ms: u64,
    #[serde(default = "defaults::relays")]
    pub(super) relays: u64,
    #[serde(default = "defaults::digest_interval_ms")]
    pub(super) digest_interval_ms: u64,
}

/// The section `front`: the service that accepts callers' requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawFront {
    pub(super) listen_address: SocketAddr,
    #[serde(default = "defaults::connections_max")]
    pub(super) connections_max: u64,
    #[serde(default = "defaults::body_max_bytes")]
    pub(super) body_max_bytes: u64,
    #[serde(default = "defaults::body_timeout_ms")]
    pub(super) body_timeout_ms: u64,
    #[serde(default = "defaults::bodies_max_bytes")]
    pub(super) bodies_max_bytes: u64,
    #[serde(default = "defaults::requests_max")]
    pub(super) requests_max: u64,
    #[serde(default = "defaults::fronts_max")]
    pub(super) fronts_max: u64,
    #[serde(default = "defaults::forward_bytes_per_second")]
    pub(super) forward_bytes_per_second: u64,
}

/// The section `scheduler`: the service that places batch work.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawScheduler {
    pub(super) listen_address: SocketAddr,
    #[serde(default = "defaults::connections_max")]
    pub(super) connections_max: u64,
    #[serde(default = "defaults::shard_count")]
    pub(super) shard_count: u64,
    #[serde(default = "defaults::lease_ms")]
    pub(super) lease_ms: u64,
    #[serde(default = "defaults::commit_interval_ms")]
    pub(super) commit_interval_ms: u64,
    #[serde(default = "defaults::worker_timeout_ms")]
    pub(super) worker_timeout_ms: u64,
    #[serde(default)]
    pub(super) evacuate_ms: Option<u64>,
}

/// The section `stop`: the time limits of a graceful stop.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawStop {
    #[serde(default = "defaults::unready_ms")]
    pub(crate) unready_ms: u64,
    #[serde(default = "defaults::drain_max_ms")]
    pub(crate) drain_max_ms: u64,
}

impl Default for RawStop {
    fn default() -> Self {
        Self {
            unready_ms: defaults::unready_ms(),
            drain_max_ms: defaults::drain_max_ms(),
        }
    }
}

/// The section `log`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawLog {
    #[serde(default)]
    pub(crate) level: LogLevel,
    /// The encoding of log lines; the default depends on the kind of daemon.
    #[serde(default)]
    pub(crate) format: Option<LogFormat>,
}

/// Default values of optional fields.
mod defaults {
    pub(super) fn call_timeout_ms() -> u64 {
        2_000
    }

    pub(super) fn host_poll_ms() -> u64 {
        2_000
    }

    pub(super) fn heartbeat_interval_ms() -> u64 {
        1_000
    }

    pub(super) fn relays() -> u64 {
        2
    }

    pub(super) fn digest_interval_ms() -> u64 {
        4_000
    }

    pub(super) fn connections_max() -> u64 {
        4_096
    }

    pub(super) fn body_max_bytes() -> u64 {
        1 << 20
    }

    pub(super) fn body_timeout_ms() -> u64 {
        10_000
    }

    pub(super) fn bodies_max_bytes() -> u64 {
        64 << 20
    }

    pub(super) fn requests_max() -> u64 {
        2_048
    }

    pub(super) fn fronts_max() -> u64 {
        8
    }

    pub(super) fn forward_bytes_per_second() -> u64 {
        1 << 20
    }

    pub(super) fn shard_count() -> u64 {
        1
    }

    pub(super) fn lease_ms() -> u64 {
        10_000
    }

    pub(super) fn commit_interval_ms() -> u64 {
        200
    }

    pub(super) fn worker_timeout_ms() -> u64 {
        1_000
    }

    pub(super) fn unready_ms() -> u64 {
        1_000
    }

    pub(super) fn drain_max_ms() -> u64 {
        60_000
    }
}
