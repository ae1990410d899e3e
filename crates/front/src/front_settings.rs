use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_types::ids::FailureDomain;

use crate::target::BalancingPolicy;

/// What the front needs to know.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Where callers connect.
    pub listen_address: SocketAddr,
    /// The most connections of callers at once.
    pub connections_max: usize,
    /// The largest request body.
    pub body_max_bytes: usize,
    /// The memory for all request bodies at once.
    pub bodies_max_bytes: usize,
    /// The time within which a whole request body must arrive.
    pub body_timeout: Duration,
    /// The most requests held at once.
    pub requests_max: usize,
    /// The most fronts of the failure domain, a restarted one counted twice.
    pub fronts_max: usize,
    /// The bytes a second that may go to other failure domains and come back.
    pub forward_bytes_per_second: usize,
    /// How targets are chosen.
    pub policy: BalancingPolicy,
    /// The front's own failure domain.
    pub failure_domain: FailureDomain,
}
