use serde::Deserialize;
use serde::Serialize;

/// What a client is told of its job.
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
    /// Accepted; no task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks ended well.
    Completed,
    /// A task or a gang used up its attempts.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether nothing of the job runs any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
