use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_types::ids::FailureDomain;

use crate::target::BalancingPolicy;

/// Settings of a [`FrontService`](crate::FrontService).
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The address on which the front accepts callers' HTTP connections.
    pub listen_address: SocketAddr,
    /// The limit of concurrent connections of callers.
    pub connections_max: usize,
    /// The limit of one request body.
    pub body_max_bytes: usize,
    /// The limit of all request bodies held in memory together.
    pub bodies_max_bytes: usize,
    /// The time in which a whole request body must arrive.
    pub body_timeout: Duration,
    /// The limit of admitted requests at the highest priority.
    pub requests_max: usize,
    /// The limit of fronts in the failure domain; a restarted front counts twice.
    pub fronts_max: usize,
    /// The rate of traffic with other failure domains, requests and answers together.
    pub forward_bytes_per_second: usize,
    /// The choice among targets with a free slot.
    pub policy: BalancingPolicy,
    /// The failure domain of this front and of the targets that it uses directly.
    pub failure_domain: FailureDomain,
}
