/// The number of lost executors from which a task starts only in isolation: a crash is then its own.
const ISOLATED_AFTER_LOST: u32 = 2;
/// The same, of executors that crashed as a run of the task began.
const ISOLATED_AFTER_AT_START: u32 = 1;
/// The number of crashed executors from which a crash in isolation shows the cause.
const CRASHED_MIN: u32 = 3;
/// The same, if each of them crashed as a run of the task began and no other executor was lost then.
const CRASHED_AT_START_MIN: u32 = 2;
/// The number of lost executors from which a task is the cause, whatever else is known.
pub const LOST_MAX: u32 = 5;
/// The number of other executors that are lost at the same time, without a start just before, from
/// which a crash counts as caused from outside, such as by a loss of power.
const OTHERS_LOST_MIN: usize = 3;

/// Returns whether a task starts only in isolation after so many losses, and so many crashes as one of
/// its runs began.
pub fn needs_isolation(lost: u32, at_start: u32) -> bool {
    lost >= ISOLATED_AFTER_LOST || at_start >= ISOLATED_AFTER_AT_START
}

/// What is known of the executors that were lost while they ran one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashFacts {
    /// The number of lost executors.
    pub lost: u32,
    /// The number of these whose process is known to have ended.
    pub crashed: u32,
    /// The number of these that crashed as a run of the task began.
    pub at_start: u32,
    /// Whether the last of them ran the task in isolation.
    pub was_isolated: bool,
    /// The number of other executors that were lost at the same time and had not just started a run.
    pub others_lost: usize,
}

impl CrashFacts {
    /// Returns whether the task is the cause of the crashes.
    pub fn is_cause(&self) -> bool {
        let is_shown = self.crashed >= CRASHED_MIN && self.others_lost < OTHERS_LOST_MIN;
        let is_shown_by_starts = self.at_start >= CRASHED_AT_START_MIN && self.others_lost == 0;
        self.was_isolated && (is_shown || is_shown_by_starts) || self.lost >= LOST_MAX
    }
}
