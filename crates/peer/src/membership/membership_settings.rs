use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;

use super::MemberId;

/// What membership needs to know of its own daemon.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This daemon.
    pub member: MemberId,
    /// This process.
    pub incarnation: Incarnation,
    /// This daemon's failure domain.
    pub failure_domain: FailureDomain,
    /// Where heartbeats are taken.
    pub peer_address: SocketAddr,
    /// Where operators are answered.
    pub admin_address: SocketAddr,
    /// Where requests are taken.
    pub api_address: SocketAddr,
    /// Where a daemon that knows few others asks for more.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// The members of a failure domain that exchange its digest with other domains.
    pub relay_count: usize,
    /// Time between digests of one relay.
    pub digest_interval: Duration,
}
