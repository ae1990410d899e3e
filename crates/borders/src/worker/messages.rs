use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// The state of an attempt on its worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptStatus {
    /// The attempt runs under a valid lease.
    Running,
    /// The attempt ended with a result.
    Succeeded,
    /// The attempt ended without a result.
    Failed,
    /// The attempt was stopped on request, possibly before its start request arrived. Any later
    /// start of the attempt is refused.
    Stopped,
    /// The attempt was stopped because its lease expired.
    Lapsed,
}

/// One attempt in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The state of the attempt.
    pub status: AttemptStatus,
    /// The resources allocated to the attempt.
    pub size: Resources,
    /// The offset of the log record that opened the attempt, as sent in the start or stop request.
    pub start_offset: Offset,
    /// The name of the latest checkpoint.
    #[serde(default)]
    pub checkpoint: Option<Box<str>>,
    /// Why the attempt failed, if it did.
    #[serde(default)]
    pub cause: Option<Box<str>>,
}

/// A usage measurement of one attempt or service on a worker, taken `age_ms` before the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The measured attempt; absent for a service.
    #[serde(default)]
    pub attempt: Option<AttemptId>,
    /// The measured service; absent for an attempt.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The service's latency at a fixed percentile, in microseconds; absent for an attempt.
    #[serde(default)]
    pub latency_us: Option<u64>,
    /// The resources in use.
    pub used: Resources,
    /// The age of the measurement.
    pub age_ms: u64,
}

/// A worker's capacity, attempts and usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The worker's incarnation. A restarted worker runs no attempt of its earlier incarnations.
    pub incarnation: Incarnation,
    /// The time on the worker's own clock, which is the reference for lease ends. The clock never
    /// goes backwards within an incarnation.
    pub now_ms: u64,
    /// The resources available to all batch attempts together.
    pub capacity: Resources,
    /// All attempts that have not been forgotten.
    pub attempts: Vec<AttemptReport>,
    /// The usage measurements of attempts and services.
    #[serde(default)]
    pub usage: Vec<UsageSample>,
}

/// The body of a start request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// The epoch of the sender. The worker refuses an epoch below the highest that it has seen.
    pub epoch: Epoch,
    /// The incarnation of the worker that the attempt was placed on.
    pub worker_incarnation: Incarnation,
    /// The offset of the log record that opened the attempt. The worker refuses an offset
    /// that is not above the start offsets of all forgotten attempts.
    pub start_offset: Offset,
    /// The end of the lease on the worker's clock. The worker refuses an end in the past.
    pub lease_until_ms: u64,
    /// The resources allocated to the attempt.
    pub size: Resources,
    /// The declared run time.
    pub run_time_ms: u64,
    /// The checkpoint to resume from; `None` starts from scratch.
    pub checkpoint: Option<Box<str>>,
}

/// The body of a lease renewal. Renewals are idempotent: a repeated or delayed one extends no lease
/// beyond the end that the renewal states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewBody {
    /// The epoch of the sender. The worker refuses an epoch below the highest that it has seen.
    pub epoch: Epoch,
    /// The incarnation whose clock the lease end refers to; absent in the first call.
    pub worker_incarnation: Option<Incarnation>,
    /// The end of the leases on the worker's clock.
    pub lease_until_ms: u64,
    /// The attempts whose leases are extended.
    pub attempts: Vec<AttemptId>,
}

/// The body of a stop request. The request may arrive before the start request of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopBody {
    /// The offset of the log record that opened the attempt.
    pub start_offset: Offset,
}
