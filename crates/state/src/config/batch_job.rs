use dotterelhook_types::document::FieldError;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::service::check_size;

const TASKS_MAX: u32 = 100_000;
const RUN_TIME_MAX_MS: u64 = 7 * 24 * 3_600_000;
const ATTEMPTS_MAX: u32 = 20;
const DEFAULT_ATTEMPTS: u32 = 4;

/// The order in which waiting work is placed.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Placed when nothing else waits.
    Low,
    /// The usual priority.
    #[default]
    Normal,
    /// Placed first; may evict other batch work.
    Urgent,
}

/// The document as written; checked by `TryFrom`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawBatchJob {
    tasks: u32,
    size: Resources,
    run_time_ms: u64,
    deadline_ms: u64,
    #[serde(default)]
    priority: Priority,
    #[serde(default)]
    checkpointable: bool,
    #[serde(default = "default_attempts")]
    attempts_max: u32,
}

fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

/// A checked batch job; each run of it has the same tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawBatchJob")]
pub struct BatchJob {
    /// The number of tasks of one run.
    pub tasks: u32,
    /// The declared size of one task.
    pub size: Resources,
    /// The declared run time of one task.
    pub run_time_ms: u64,
    /// Time from submission to the run's deadline.
    pub deadline_ms: u64,
    /// The order in which tasks are placed.
    pub priority: Priority,
    /// Whether an evicted task resumes from a checkpoint.
    pub checkpointable: bool,
    /// A task that failed so many times fails the run.
    pub attempts_max: u32,
}

impl TryFrom<RawBatchJob> for BatchJob {
    type Error = FieldError;

    fn try_from(raw: RawBatchJob) -> Result<Self, FieldError> {
        FieldError::check_range("tasks", raw.tasks.into(), 1, TASKS_MAX.into())?;
        check_size(&raw.size)?;
        FieldError::check_range("run_time_ms", raw.run_time_ms, 1, RUN_TIME_MAX_MS)?;
        FieldError::check_range(
            "deadline_ms",
            raw.deadline_ms,
            raw.run_time_ms,
            RUN_TIME_MAX_MS,
        )?;
        FieldError::check_range(
            "attempts_max",
            raw.attempts_max.into(),
            1,
            ATTEMPTS_MAX.into(),
        )?;
        Ok(Self {
            tasks: raw.tasks,
            size: raw.size,
            run_time_ms: raw.run_time_ms,
            deadline_ms: raw.deadline_ms,
            priority: raw.priority,
            checkpointable: raw.checkpointable,
            attempts_max: raw.attempts_max,
        })
    }
}
