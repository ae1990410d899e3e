use std::time::Duration;

/// The time reserved for the stop of a run and its start on another executor.
pub const RELOCATION_TIME: Duration = Duration::from_millis(600);
/// A run leaves only if its remaining time is at least this multiple of the time that leaving costs.
const REMAINING_MIN_FACTOR: u32 = 5;

/// What decides whether a run leaves an evacuated failure domain. For a gang, the facts of all
/// members together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunFacts {
    /// Whether the task runs until the job is cancelled.
    pub is_long_running: bool,
    /// Whether the run can continue elsewhere from a saved checkpoint.
    pub has_checkpoint: bool,
    /// The time until the run is expected to end.
    pub remaining: Duration,
    /// Limits the tasks of the step that may be away at the same time.
    pub unavailable_max: u32,
    /// The tasks of the step that aren't available now, for whatever reason.
    pub unavailable: u32,
    /// The tasks of the step that would leave together.
    pub leaving: u32,
}

/// Why a run stays in an evacuated failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StayCause {
    /// The run ends soon.
    EndsSoon,
    /// A restart would lose the work of the run.
    NoCheckpoint,
    /// As many tasks of the step are away as may be.
    OthersAreAway,
    /// No other failure domain has capacity for the task, or for the whole gang.
    NoCapacity,
}

impl RunFacts {
    /// Returns why the run must stay, or `None` if it should leave once there is capacity for it
    /// elsewhere.
    pub fn stay_cause(&self) -> Option<StayCause> {
        if self.is_long_running {
            let is_limit_reached = self.unavailable + self.leaving > self.unavailable_max;
            return is_limit_reached.then_some(StayCause::OthersAreAway);
        }
        if self.remaining < RELOCATION_TIME * REMAINING_MIN_FACTOR {
            Some(StayCause::EndsSoon)
        } else if !self.has_checkpoint {
            Some(StayCause::NoCheckpoint)
        } else {
            None
        }
    }
}
