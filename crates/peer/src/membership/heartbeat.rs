use std::fmt;
use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

/// The duties of a daemon.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts requests of callers and routes them to targets.
    Front,
    /// Accepts and places batch jobs.
    Scheduler,
    /// Performs both roles in one process.
    Combined,
}

impl Role {
    /// Returns whether a daemon of this role also performs the `other` role.
    pub fn covers(self, other: Self) -> bool {
        self == other || self == Self::Combined
    }
}

/// Identifies one daemon by its host and role, across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The host that runs the daemon.
    pub host: HostId,
    /// The daemon's role on that host.
    pub role: Role,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.role)
    }
}

/// A target that was observed draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingTarget {
    /// The target's id.
    pub target: TargetId,
    /// Time since the newest observation, in milliseconds.
    pub age_ms: u64,
}

/// The state that a daemon reports about itself once per heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's id.
    pub member: MemberId,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The sequence number of the heartbeat within the process, from 1.
    pub sequence: u64,
    /// The sender's failure domain.
    pub failure_domain: FailureDomain,
    /// The sender's address for frames and peer calls.
    pub peer_address: SocketAddr,
    /// The sender's address for operators.
    pub admin_address: SocketAddr,
    /// The sender's address for requests of callers or job submitters.
    pub api_address: SocketAddr,
    /// The next configuration offset that the sender will apply.
    pub config_offset: Offset,
    /// Time since the log last answered the sender, in milliseconds; `None` if it never did.
    pub log_contact_age_ms: Option<u64>,
    /// Whether the sender is draining before a stop.
    pub is_draining: bool,
    /// Targets that the sender observed draining; each report is announced a few times only.
    pub draining_targets: Vec<DrainingTarget>,
}
