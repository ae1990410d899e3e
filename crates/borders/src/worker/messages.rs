use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::ServiceName;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

/// What an attempt does at its worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptStatus {
    /// It runs under a lease.
    Running,
    /// It has ended with a result.
    Succeeded,
    /// It has ended without a result.
    Failed,
    /// It was stopped on request, or refused for good before it started.
    Stopped,
    /// Its lease lapsed and it was stopped.
    Lapsed,
}

/// One attempt in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it does.
    pub status: AttemptStatus,
    /// What it was given.
    pub size: Resources,
    /// The offset of the record that opened it, as the start or stop told.
    pub start_offset: Offset,
    /// Its newest checkpoint.
    #[serde(default)]
    pub checkpoint: Option<Box<str>>,
    /// Why it failed.
    #[serde(default)]
    pub cause: Option<Box<str>>,
}

/// Lagging usage of one attempt or service on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The attempt; absent for a service.
    #[serde(default)]
    pub attempt: Option<AttemptId>,
    /// The service; absent for an attempt.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The service's latency at a fixed percentile.
    #[serde(default)]
    pub latency_us: Option<u64>,
    /// What it took.
    pub used: Resources,
    /// How old the measurement is.
    pub age_ms: u64,
}

/// What a worker has and does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's incarnation; a restarted worker runs nothing of its predecessor.
    pub incarnation: Incarnation,
    /// The worker's own clock, in which lease ends are given; never goes back within an
    /// incarnation.
    pub now_ms: u64,
    /// What batch attempts may take together.
    pub capacity: Resources,
    /// All attempts that were not forgotten.
    pub attempts: Vec<AttemptReport>,
    /// Lagging usage.
    #[serde(default)]
    pub usage: Vec<UsageSample>,
}

/// Asks a worker to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// The epoch of the sender; the worker refuses one below the highest it has seen.
    pub epoch: Epoch,
    /// The incarnation of the worker that the attempt was placed on.
    pub worker_incarnation: Incarnation,
    /// The offset of the record that opened the attempt; the worker refuses one that is not
    /// above those of all attempts it has forgotten.
    pub start_offset: Offset,
    /// When the lease ends, in the worker's clock; the worker refuses one that has passed.
    pub lease_until_ms: u64,
    /// What the attempt is given.
    pub size: Resources,
    /// The declared run time.
    pub run_time_ms: u64,
    /// Where the attempt resumes.
    pub checkpoint: Option<Box<str>>,
}

/// Asks a worker to extend leases; a repeat or a late one extends nothing beyond its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewBody {
    /// The epoch of the sender; the worker refuses one below the highest it has seen.
    pub epoch: Epoch,
    /// The incarnation whose clock the lease end is given in; absent in the first call.
    pub worker_incarnation: Option<Incarnation>,
    /// When the leases end, in the worker's clock.
    pub lease_until_ms: u64,
    /// The attempts whose leases are extended.
    pub attempts: Vec<AttemptId>,
}

/// Asks a worker to stop an attempt, also one that has not arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopBody {
    /// The offset of the record that opened the attempt.
    pub start_offset: Offset,
}
