use dotterelhook_types::document::FieldError;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::service::check_size;

const TASKS_MAX: u32 = 100_000;
const RUN_TIME_MAX_MS: u64 = 7 * 24 * 3_600_000;
const ATTEMPTS_MAX: u32 = 20;
const DEFAULT_ATTEMPTS_MAX: u32 = 4;

/// Priority class of a batch job's waiting tasks for placement.
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
    /// Placed after the tasks of higher priorities.
    Low,
    /// The default priority.
    #[default]
    Normal,
    /// Placed before all other tasks; may evict other batch tasks.
    Urgent,
}

/// The decoded document, before validation by `TryFrom`.
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
    #[serde(default = "default_attempts_max")]
    attempts_max: u32,
}

fn default_attempts_max() -> u32 {
    DEFAULT_ATTEMPTS_MAX
}

/// The validated declaration of a batch job. Every run of the job has the same number and size of
/// tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawBatchJob")]
pub struct BatchJob {
    /// Number of tasks per run.
    pub tasks: u32,
    /// Resources reserved for each task.
    pub size: Resources,
    /// Declared run time of one task, in milliseconds.
    pub run_time_ms: u64,
    /// Time from submission to the run's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Placement priority of the tasks.
    pub priority: Priority,
    /// Whether an evicted task can resume from a checkpoint.
    pub checkpointable: bool,
    /// Number of counted failures of one task that fails the run. The limit is three times as high
    /// while all failures are on the same one of several workers.
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
