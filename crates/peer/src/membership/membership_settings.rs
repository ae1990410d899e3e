use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Incarnation;

use super::MemberId;

/// The identity, addresses and intervals of one daemon's membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This daemon's id.
    pub member: MemberId,
    /// The incarnation of this process, which distinguishes it from its predecessors.
    pub incarnation: Incarnation,
    /// This daemon's failure domain.
    pub failure_domain: FailureDomain,
    /// The UDP address for frames, and the TCP address for peer calls.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub admin_address: SocketAddr,
    /// The address for requests of callers or job submitters.
    pub api_address: SocketAddr,
    /// Peer addresses asked for members at startup, and later while unknown or unreachable.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// The number of members per failure domain that exchange digests with other domains.
    pub relay_count: usize,
    /// Time between digests of one relay while nothing changes.
    pub digest_interval: Duration,
}
