use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;

/// A lagging measurement of one service on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSample {
    /// The worker.
    pub worker: WorkerId,
    /// The service.
    pub service: ServiceName,
    /// When it was measured: the time of arrival less its age.
    pub measured_at_ms: u64,
    /// The latency at a fixed percentile.
    pub latency_us: f64,
    /// The service's use of processors, as a share of its declared size.
    pub load: f64,
}
