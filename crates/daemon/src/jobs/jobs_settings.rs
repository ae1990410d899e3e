use std::net::SocketAddr;
use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::cell::ColdLimits;
use dotterelhook_jobs::entry::EntrySettings;
use dotterelhook_jobs::ownership::required_partition_count;
use dotterelhook_jobs::platform::StoreLimits;
use dotterelhook_jobs::policy::FarFactor;
use dotterelhook_jobs::policy::PlacementWait;
use dotterelhook_jobs::policy::WaitPolicy;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::sizes::CpuMilli;
use serde::Deserialize;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::RawLog;
use crate::settings::RawStop;
use crate::settings::checked_memory;
use crate::settings::checked_millis;
use crate::settings::checked_number;

/// The smallest CPU capacity of a host, in cores.
const CPU_CORES_MIN: f64 = 0.001;
/// The smallest multiple of its share of the runs that a cold executor may get.
const COLD_OVERAGE_MIN: f64 = 1.0;
/// The largest multiple of its share of the runs that a cold executor may get.
const COLD_OVERAGE_MAX: f64 = 1_000.0;
/// The largest CPU capacity of a host, in cores.
const CPU_CORES_MAX: f64 = 1_024.0;

/// The smallest limit of the store on the size of a record.
const STORE_RECORD_BYTES_MIN: u64 = 4 << 10;
/// The largest limit of the store on the size of a record or an append.
const STORE_BYTES_MAX: u64 = 1 << 30;

/// The settings file of a daemon that runs jobs, decoded but not checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawJobsSettings {
    host: Box<str>,
    failure_domain: Box<str>,
    #[serde(default = "defaults::cpu_cores")]
    cpu_cores: f64,
    /// Absent if the machine's own figure holds.
    memory_mb: Option<u64>,
    jobs: RawJobs,
    #[serde(default)]
    stop: RawStop,
    #[serde(default)]
    log: RawLog,
}

/// The section `jobs` of the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawJobs {
    clients_address: SocketAddr,
    ready_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    store_address: SocketAddr,
    store_partitions: u64,
    #[serde(default = "defaults::store_record_max_bytes")]
    store_record_max_bytes: u64,
    #[serde(default = "defaults::store_append_max_bytes")]
    store_append_max_bytes: u64,
    #[serde(default)]
    advisor_address: Option<SocketAddr>,
    #[serde(default = "defaults::connections_max")]
    connections_max: u64,
    #[serde(default = "defaults::cell_count")]
    cell_count: u64,
    lease_max_ms: u64,
    #[serde(default = "defaults::lease_ms")]
    lease_ms: u64,
    #[serde(default = "defaults::renewal_hold_ms")]
    renewal_hold_ms: u64,
    #[serde(default = "defaults::order_timeout_ms")]
    order_timeout_ms: u64,
    #[serde(default = "defaults::store_timeout_ms")]
    store_timeout_ms: u64,
    #[serde(default = "defaults::renewal_right_ms")]
    renewal_right_ms: u64,
    #[serde(default = "defaults::commit_interval_ms")]
    commit_interval_ms: u64,
    stop_max_ms: u64,
    /// Absent if the deployment sets no limit.
    evacuate_max_ms: Option<u64>,
    /// Absent if the deployment sets no limits for cold executors.
    cold_overage: Option<f64>,
    cold_burst: Option<u64>,
    #[serde(default)]
    executors_enforce_fences: bool,
    #[serde(default = "defaults::early_max_ms")]
    early_max_ms: u64,
    #[serde(default = "defaults::retention_ms")]
    retention_ms: u64,
    membership_ttl_min_ms: u64,
    #[serde(default = "defaults::membership_ttl_ms")]
    membership_ttl_ms: u64,
    #[serde(default = "defaults::retry_after_ms")]
    retry_after_ms: u64,
    #[serde(default = "defaults::record_entry_domain")]
    record_entry_domain: bool,
    #[serde(default = "defaults::refuse_for_capacity")]
    refuse_for_capacity: bool,
    #[serde(default)]
    far_factor: Option<f64>,
    #[serde(default)]
    placement_wait: Option<WaitPolicy>,
}

/// The checked settings of a daemon that runs jobs, with the defaults filled in.
#[derive(Clone, Debug)]
pub(crate) struct JobsSettings {
    pub(crate) host: Box<str>,
    pub(crate) failure_domain: Box<str>,
    pub(crate) cpu_milli: CpuMilli,
    /// The memory of the machine; `None` for the size that the platform reports.
    pub(crate) memory: Option<MachineMemory>,
    pub(crate) clients_address: SocketAddr,
    pub(crate) ready_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) metrics_address: SocketAddr,
    pub(crate) store_address: SocketAddr,
    pub(crate) advisor_address: Option<SocketAddr>,
    pub(crate) connections_max: usize,
    pub(crate) store_timeout: Duration,
    /// The time after which nothing may start in an evacuated failure domain.
    pub(crate) evacuate_max: Option<Duration>,
    pub(crate) cell: CellSettings,
    pub(crate) entry: EntrySettings,
    pub(crate) unready_for: Duration,
    pub(crate) drain_max: Duration,
    pub(crate) log_level: LogLevel,
    pub(crate) log_format: LogFormat,
}

impl TryFrom<RawJobsSettings> for JobsSettings {
    type Error = FieldError;

    fn try_from(raw: RawJobsSettings) -> Result<Self, FieldError> {
        let jobs = &raw.jobs;
        check_addresses(jobs)?;
        let field = |name: &str| format!("jobs.{name}");
        let ms = |name: &str, value, min, max| checked_millis(&field(name), value, min, max);
        let lease_max_ms = jobs.lease_max_ms;
        ms("lease_max_ms", lease_max_ms, 500, 600_000)?;
        let lease = ms("lease_ms", jobs.lease_ms, 500, 600_000)?;
        let lease = lease.min(Duration::from_millis(lease_max_ms));
        let lease_ms = lease.as_millis() as u64;
        let store_timeout = ms("store_timeout_ms", jobs.store_timeout_ms, 10, 60_000)?;
        let order_timeout = ms("order_timeout_ms", jobs.order_timeout_ms, 10, lease_ms / 3)?;
        let renewal_hold = ms("renewal_hold_ms", jobs.renewal_hold_ms, 10, 2_000)?;
        if (jobs.renewal_hold_ms + jobs.order_timeout_ms) * 2 > lease_ms {
            let rule = "with order_timeout_ms, must fit twice into lease_ms";
            return Err(FieldError::new(field("renewal_hold_ms"), rule));
        }
        let cell_count = checked_number(&field("cell_count"), jobs.cell_count, 1, 64)? as u32;
        if u64::from(required_partition_count(cell_count)) > jobs.store_partitions {
            let rule = "the cells need more partitions than store_partitions";
            return Err(FieldError::new(field("cell_count"), rule));
        }
        let ttl_min_ms = jobs.membership_ttl_min_ms;
        let cell = CellSettings {
            cell_count,
            lease,
            renewal_hold,
            order_timeout,
            renewal_right: ms("renewal_right_ms", jobs.renewal_right_ms, 100, 600_000)?,
            store_limits: store_limits(jobs)?,
            commit_interval: ms("commit_interval_ms", jobs.commit_interval_ms, 1, 2_000)?,
            stop_max: ms("stop_max_ms", jobs.stop_max_ms, 0, 60_000)?,
            executors_enforce_fences: jobs.executors_enforce_fences,
            retention: ms("retention_ms", jobs.retention_ms, 1_000, 86_400_000)?,
            early_max: ms("early_max_ms", jobs.early_max_ms, 0, 60_000)?,
            membership_ttl: ms(
                "membership_ttl_ms",
                jobs.membership_ttl_ms,
                ttl_min_ms,
                60_000,
            )?,
            cold_limits: cold_limits(jobs)?,
            placement_wait: placement_wait(jobs)?,
        };
        let connections_max =
            checked_number(&field("connections_max"), jobs.connections_max, 1, 100_000)?;
        if !(CPU_CORES_MIN..=CPU_CORES_MAX).contains(&raw.cpu_cores) {
            let rule = format!("must be from {CPU_CORES_MIN} to {CPU_CORES_MAX}");
            return Err(FieldError::new("cpu_cores", rule));
        }
        Ok(Self {
            memory: checked_memory(raw.memory_mb)?,
            cpu_milli: CpuMilli((raw.cpu_cores * 1_000.0) as u64),
            clients_address: jobs.clients_address,
            ready_address: jobs.ready_address,
            peer_address: jobs.peer_address,
            metrics_address: jobs.metrics_address,
            store_address: jobs.store_address,
            advisor_address: jobs.advisor_address,
            connections_max: connections_max as usize,
            store_timeout,
            evacuate_max: jobs
                .evacuate_max_ms
                .map(|limit| ms("evacuate_max_ms", limit, 500, 600_000))
                .transpose()?,
            cell,
            entry: EntrySettings {
                retry_after: ms("retry_after_ms", jobs.retry_after_ms, 1, 60_000)?,
                records_entry_domain: jobs.record_entry_domain,
                refuses_for_capacity: jobs.refuse_for_capacity,
                ..EntrySettings::default()
            },
            unready_for: checked_millis("stop.unready_ms", raw.stop.unready_ms, 0, 60_000)?,
            drain_max: checked_millis("stop.drain_max_ms", raw.stop.drain_max_ms, 0, 3_600_000)?,
            log_level: raw.log.level,
            log_format: raw.log.format.unwrap_or(LogFormat::Json),
            host: raw.host,
            failure_domain: raw.failure_domain,
        })
    }
}

/// Returns how work waits for a preferred placement; without a factor, no work does.
fn placement_wait(jobs: &RawJobs) -> Result<Option<PlacementWait>, FieldError> {
    let far_factor = jobs.far_factor.map(FarFactor::try_from).transpose();
    let far_factor =
        far_factor.map_err(|error| FieldError::new("jobs.far_factor", error.to_string()))?;
    if far_factor.is_none() && jobs.placement_wait.is_some() {
        let rule = "has no effect without far_factor";
        return Err(FieldError::new("jobs.placement_wait", rule));
    }
    Ok(far_factor.map(|far_factor| PlacementWait {
        far_factor,
        policy: jobs.placement_wait.unwrap_or_default(),
    }))
}

/// Returns the limits of the store. An append takes at least one record of the largest size.
fn store_limits(jobs: &RawJobs) -> Result<StoreLimits, FieldError> {
    let bytes = |name: &str, value, min| {
        let checked = checked_number(&format!("jobs.{name}"), value, min, STORE_BYTES_MAX)?;
        Ok(checked as usize)
    };
    let record_max = jobs.store_record_max_bytes;
    Ok(StoreLimits {
        record_max_bytes: bytes("store_record_max_bytes", record_max, STORE_RECORD_BYTES_MIN)?,
        append_max_bytes: bytes(
            "store_append_max_bytes",
            jobs.store_append_max_bytes,
            record_max,
        )?,
    })
}

fn check_addresses(jobs: &RawJobs) -> Result<(), FieldError> {
    let listeners = [
        ("jobs.clients_address", jobs.clients_address),
        ("jobs.ready_address", jobs.ready_address),
        ("jobs.peer_address", jobs.peer_address),
        ("jobs.metrics_address", jobs.metrics_address),
    ];
    for (index, (field, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| other == address);
        if let Some((other, _)) = earlier {
            return Err(FieldError::new(*field, format!("already used by {other}")));
        }
    }
    Ok(())
}

/// Returns the limits of cold executors, if any of them is set.
fn cold_limits(jobs: &RawJobs) -> Result<Option<ColdLimits>, FieldError> {
    if jobs.cold_overage.is_none() && jobs.cold_burst.is_none() {
        return Ok(None);
    }
    let overage = jobs.cold_overage.unwrap_or(COLD_OVERAGE_MIN);
    if !(COLD_OVERAGE_MIN..=COLD_OVERAGE_MAX).contains(&overage) {
        let rule = format!("must be from {COLD_OVERAGE_MIN} to {COLD_OVERAGE_MAX}");
        return Err(FieldError::new("jobs.cold_overage", rule));
    }
    let burst = jobs.cold_burst.unwrap_or(0);
    let burst = checked_number("jobs.cold_burst", burst, 0, 100_000)? as u32;
    Ok(Some(ColdLimits { overage, burst }))
}

/// Default values of optional fields.
mod defaults {
    use dotterelhook_jobs::platform::StoreLimits;

    pub(super) fn cpu_cores() -> f64 {
        1.0
    }

    pub(super) fn connections_max() -> u64 {
        2_048
    }

    pub(super) fn cell_count() -> u64 {
        1
    }

    pub(super) fn store_record_max_bytes() -> u64 {
        StoreLimits::default().record_max_bytes as u64
    }

    pub(super) fn store_append_max_bytes() -> u64 {
        StoreLimits::default().append_max_bytes as u64
    }

    /// Long enough for a takeover while the store is slow. Short enough that the runs of a silent
    /// executor are soon declared lost.
    pub(super) fn lease_ms() -> u64 {
        6_500
    }

    pub(super) fn renewal_hold_ms() -> u64 {
        1_000
    }

    /// Many times the round trip between two failure domains.
    pub(super) fn order_timeout_ms() -> u64 {
        500
    }

    /// Longer than the response time of a store that is slowed down by a factor of 60.
    pub(super) fn store_timeout_ms() -> u64 {
        1_000
    }

    /// The sum of this time and the lease has two bounds. It exceeds the store outages that running
    /// tasks must survive. It stays below the time after which a long-running task must run again.
    pub(super) fn renewal_right_ms() -> u64 {
        2_000
    }

    /// Limits an owner to 40 appends per second.
    pub(super) fn commit_interval_ms() -> u64 {
        25
    }

    pub(super) fn early_max_ms() -> u64 {
        0
    }

    /// Longer than the time for which clients may query a finished job.
    pub(super) fn retention_ms() -> u64 {
        180_000
    }

    /// Spans five heartbeats, so that some arrive while a third of the store's responses are lost.
    pub(super) fn membership_ttl_ms() -> u64 {
        2_000
    }

    pub(super) fn retry_after_ms() -> u64 {
        1_000
    }

    /// Owners of earlier versions cannot read the record, so a rolling upgrade needs it off.
    pub(super) fn record_entry_domain() -> bool {
        false
    }

    pub(super) fn refuse_for_capacity() -> bool {
        false
    }
}
