use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Sequence;
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
    /// The attempt; absent for the services on the worker together.
    #[serde(default)]
    pub attempt: Option<AttemptId>,
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
    /// What the attempt is given.
    pub size: Resources,
    /// The first lease.
    pub lease_ms: u64,
    /// The declared run time.
    pub run_time_ms: u64,
    /// Where the attempt resumes.
    pub checkpoint: Option<Box<str>>,
    /// The incarnation of the worker that the attempt was placed on.
    pub worker_incarnation: Incarnation,
}

/// Asks a worker to extend leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewBody {
    /// The sender's count; a repeat carries the same number and extends nothing.
    pub sequence: Sequence,
    /// Names the sender, in whose count the sequence is.
    pub sender: Box<str>,
    /// The lease from now on.
    pub lease_ms: u64,
    /// The attempts whose leases are extended.
    pub attempts: Vec<AttemptId>,
}
