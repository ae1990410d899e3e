use std::fmt;
use std::net::SocketAddr;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

/// What a daemon does.
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
    /// Takes callers' requests.
    Front,
    /// Places batch work.
    Scheduler,
    /// Does both in one process.
    Combined,
}

impl Role {
    /// Returns whether a daemon of this role does the work of another one.
    pub fn covers(self, other: Self) -> bool {
        self == other || self == Self::Combined
    }
}

/// One daemon: a role on a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The entry host.
    pub host: HostId,
    /// The role.
    pub role: Role,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.role)
    }
}

/// A target that was seen draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingTarget {
    /// The target.
    pub target: TargetId,
    /// Time since it was last seen draining.
    pub age_ms: u64,
}

/// What a daemon tells the others about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub member: MemberId,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// The count of the process's heartbeats.
    pub sequence: u64,
    /// The sender's failure domain.
    pub failure_domain: FailureDomain,
    /// Where the sender takes heartbeats.
    pub peer_address: SocketAddr,
    /// Where the sender answers operators.
    pub admin_address: SocketAddr,
    /// Where the sender takes requests: callers' or submitters'.
    pub api_address: SocketAddr,
    /// The next offset of the sender's configuration.
    pub config_offset: Offset,
    /// The time since the log last answered the sender.
    pub log_contact_age_ms: Option<u64>,
    /// Whether the sender is about to stop.
    pub is_draining: bool,
    /// Targets that the sender saw draining lately; each is told a few times, not always.
    pub draining_targets: Vec<DrainingTarget>,
}
