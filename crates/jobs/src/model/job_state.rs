use serde::Deserialize;
use serde::Serialize;

/// The state of a job as clients see it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum JobState {
    /// The job is accepted, and no task has been placed yet.
    Pending,
    /// At least one task has been placed on an executor.
    Running,
    /// All tasks of all occurrences succeeded.
    Completed,
    /// A task or a gang exhausted its attempts.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
