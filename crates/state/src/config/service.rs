use dotterelhook_types::document::FieldError;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

const REPLICAS_MAX: u32 = 10_000;
const TIMEOUT_MAX_MS: u64 = 600_000;
const PRIORITY_MAX: u8 = 9;
const TASK_CPU_MAX_MILLI: u64 = 1_024_000;
const TASK_MEMORY_MAX_MB: u64 = 64_000_000;
const TASK_ACCELERATORS_MAX: u64 = 1_024;

/// Service-level objective: the percentage of requests to answer within a latency bound.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Latency bound of a good answer, in milliseconds.
    pub latency_ms: u64,
    /// Target percentage of good answers; above 0 and below 100.
    pub good_percent: f64,
}

/// The decoded document, before validation by `TryFrom`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawService {
    path_prefix: Box<str>,
    timeout_ms: u64,
    #[serde(default)]
    idempotent_methods: Vec<Box<str>>,
    #[serde(default)]
    priority: u8,
    replicas: u32,
    size: Resources,
    objective: Objective,
}

/// The validated settings of a latency-critical service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawService")]
pub struct ServiceSettings {
    /// Path prefix of the requests that are routed to the service; starts and ends with `/`.
    pub path_prefix: Box<str>,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u64,
    /// HTTP methods whose requests are idempotent and may be executed more than once.
    pub idempotent_methods: Vec<Box<str>>,
    /// Priority under overload, 0 to 9. Requests of higher priority are shed later.
    pub priority: u8,
    /// Number of executors.
    pub replicas: u32,
    /// Resources reserved for each executor.
    pub size: Resources,
    /// The service-level objective.
    pub objective: Objective,
}

impl TryFrom<RawService> for ServiceSettings {
    type Error = FieldError;

    fn try_from(raw: RawService) -> Result<Self, FieldError> {
        if !raw.path_prefix.starts_with('/') || !raw.path_prefix.ends_with('/') {
            return Err(FieldError::new(
                "path_prefix",
                "must start and end with '/'",
            ));
        }
        FieldError::check_range("timeout_ms", raw.timeout_ms, 1, TIMEOUT_MAX_MS)?;
        FieldError::check_range("priority", raw.priority.into(), 0, PRIORITY_MAX.into())?;
        FieldError::check_range("replicas", raw.replicas.into(), 1, REPLICAS_MAX.into())?;
        check_size(&raw.size)?;
        FieldError::check_range(
            "objective.latency_ms",
            raw.objective.latency_ms,
            1,
            raw.timeout_ms,
        )?;
        let percent = raw.objective.good_percent;
        if !(percent > 0.0 && percent < 100.0) {
            let rule = "must be above 0 and below 100";
            return Err(FieldError::new("objective.good_percent", rule));
        }
        Ok(Self {
            path_prefix: raw.path_prefix,
            timeout_ms: raw.timeout_ms,
            idempotent_methods: raw.idempotent_methods,
            priority: raw.priority,
            replicas: raw.replicas,
            size: raw.size,
            objective: raw.objective,
        })
    }
}

impl ServiceSettings {
    /// Returns whether requests with this method may be executed more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods.iter().any(|m| &**m == method)
    }
}

/// Checks that the size of one task or executor has processor time and memory, and that no
/// dimension exceeds what a worker can have.
pub(super) fn check_size(size: &Resources) -> Result<(), FieldError> {
    FieldError::check_range("size.cpu_milli", size.cpu_milli.0, 1, TASK_CPU_MAX_MILLI)?;
    FieldError::check_range("size.memory_mb", size.memory_mb.0, 1, TASK_MEMORY_MAX_MB)?;
    FieldError::check_range(
        "size.accelerators",
        size.accelerators.0,
        0,
        TASK_ACCELERATORS_MAX,
    )
}
