use std::time::Duration;

use crate::model::FailureDomainName;

/// How far an evacuation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EvacuationState {
    /// The request has been seen, but some executors haven't answered since.
    Requested,
    /// Runs are left.
    Emptying,
    /// All executors have answered since the request, and none runs anything.
    Empty,
}

/// The runs in an evacuated failure domain, by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs that are being stopped.
    pub stopping: u64,
    /// Runs that end soon.
    pub ending: u64,
    /// Runs without a checkpoint, which run to their end.
    pub without_checkpoint: u64,
    /// Runs that can leave once there is capacity elsewhere.
    pub movable: u64,
    /// Long-running tasks.
    pub long_running: u64,
    /// Members of gangs that can't leave now.
    pub gang_members: u64,
}

impl RunCounts {
    /// Returns each kind with its number of runs.
    pub fn by_kind(&self) -> [(&'static str, u64); 6] {
        [
            ("stopping", self.stopping),
            ("ending", self.ending),
            ("without-checkpoint", self.without_checkpoint),
            ("movable", self.movable),
            ("long-running", self.long_running),
            ("gang-member", self.gang_members),
        ]
    }

    /// Returns the number of all runs.
    pub fn total(&self) -> u64 {
        self.by_kind().iter().map(|(_, count)| count).sum()
    }
}

/// The progress of one evacuation in one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationStatus {
    /// The evacuated failure domain.
    pub domain: FailureDomainName,
    /// How far the evacuation is.
    pub state: EvacuationState,
    /// When this process first saw the request, since boot.
    pub requested_at: Duration,
    /// The runs that are left.
    pub runs: RunCounts,
    /// The executors of the failure domain.
    pub executors: u64,
    /// The executors that haven't answered since the request.
    pub silent_executors: u64,
}
