use dotterelhook_kernel::Metrics;
use dotterelhook_types::ids::Offset;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of the configuration in force and of its sources.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigMetrics {
    next_offset: Gauge,
    refusals: Counter,
    peer_adoptions: Counter,
    snapshots: Counter,
}

impl ConfigMetrics {
    /// Creates the metrics and registers them if a registry is given.
    pub(super) fn new(registry: Option<&Metrics>) -> Self {
        let metrics = Self::default();
        if let Some(registry) = registry {
            registry.register(|registry| {
                registry.register(
                    "config_next_offset",
                    "The next record of the configuration to apply",
                    metrics.next_offset.clone(),
                );
                registry.register(
                    "config_refusals",
                    "Records of the configuration that were refused",
                    metrics.refusals.clone(),
                );
                registry.register(
                    "config_peer_adoptions",
                    "Configurations taken from a peer",
                    metrics.peer_adoptions.clone(),
                );
                registry.register(
                    "config_snapshots",
                    "Snapshots of the configuration written here",
                    metrics.snapshots.clone(),
                );
            });
        }
        metrics
    }

    pub(super) fn set_next_offset(&self, offset: Offset) {
        self.next_offset.set(offset.0 as i64);
    }

    pub(super) fn count_refusal(&self) {
        self.refusals.inc();
    }

    pub(super) fn count_peer_adoption(&self) {
        self.peer_adoptions.inc();
    }

    pub(super) fn count_snapshot(&self) {
        self.snapshots.inc();
    }
}
