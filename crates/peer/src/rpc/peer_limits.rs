/// Bounds of what a daemon takes from its peers.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Connections at once.
    pub connections_max: usize,
    /// Calls at once on one connection.
    pub streams_max: u32,
    /// Calls at once on all connections.
    pub calls_max: usize,
    /// The largest body of a call.
    pub body_max_bytes: usize,
    /// The bodies of all calls together.
    pub bodies_max_bytes: usize,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections_max: 1_024,
            streams_max: 128,
            calls_max: 512,
            body_max_bytes: 16 << 20,
            bodies_max_bytes: 64 << 20,
        }
    }
}
