/// Admission limits for connections and calls from peers.
#[derive(Clone, Copy, Debug)]
pub struct PeerLimits {
    /// Concurrent connections: accepted by a server, cached by a client.
    pub connections_max: usize,
    /// Concurrent calls on one connection.
    pub streams_max: u32,
    /// Concurrent calls on all connections together.
    pub calls_max: usize,
    /// The largest body of one call.
    pub body_max_bytes: usize,
    /// The bodies of all calls held in memory together.
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
