use dotterelhook_kernel::Metrics;
use prometheus_client::metrics::counter::Counter;

/// Counters of membership traffic; bytes exclude packet headers.
#[derive(Debug, Default)]
pub(super) struct TrafficMetrics {
    sent_bytes: Counter,
    sent_frames: Counter,
    received_bytes: Counter,
    received_frames: Counter,
}

impl TrafficMetrics {
    pub(super) fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            registry.register(
                "membership_sent_bytes",
                "Bytes of frames sent",
                self.sent_bytes.clone(),
            );
            registry.register(
                "membership_sent_frames",
                "Frames sent",
                self.sent_frames.clone(),
            );
            registry.register(
                "membership_received_bytes",
                "Bytes of frames received",
                self.received_bytes.clone(),
            );
            registry.register(
                "membership_received_frames",
                "Frames received",
                self.received_frames.clone(),
            );
        });
    }

    /// Counts a sent frame and its bytes.
    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent_bytes.inc_by(bytes as u64);
        self.sent_frames.inc();
    }

    /// Counts a received frame and its bytes.
    pub(super) fn count_received(&self, bytes: usize) {
        self.received_bytes.inc_by(bytes as u64);
        self.received_frames.inc();
    }
}
