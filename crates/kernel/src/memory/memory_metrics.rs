use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use crate::Metrics;

/// The metrics of an account.
#[derive(Clone, Debug, Default)]
pub struct MemoryMetrics {
    /// The reserved bytes.
    pub used_bytes: Gauge,
    /// The bytes of accepted work among them.
    pub lasting_bytes: Gauge,
    /// The refused reservations.
    pub refusals: Counter,
    /// The connections that were closed to make room.
    pub evictions: Counter,
}

impl MemoryMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            registry.register(
                "client_memory_bytes",
                "Bytes reserved for clients: connections, requests and accepted work",
                self.used_bytes.clone(),
            );
            registry.register(
                "client_memory_lasting_bytes",
                "Bytes reserved for accepted work",
                self.lasting_bytes.clone(),
            );
            registry.register(
                "client_memory_refusals",
                "Requests that were refused for lack of memory",
                self.refusals.clone(),
            );
            registry.register(
                "stalled_connections_closed",
                "Connections without progress that were closed to make room",
                self.evictions.clone(),
            );
        });
    }
}
