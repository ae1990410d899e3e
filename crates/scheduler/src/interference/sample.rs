use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;

/// A delayed measurement of one service on one worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSample {
    /// The worker that runs the service.
    pub worker: WorkerId,
    /// The measured service.
    pub service: ServiceName,
    /// Time of measurement: arrival time minus the sample's age.
    pub measured_at_ms: u64,
    /// Latency at a fixed percentile.
    pub latency_us: f64,
    /// Processor time that the service uses, as a fraction of its declared size.
    pub load: f64,
}
