/// The number of losses without another suspect from which a task starts only in isolation.
const ISOLATED_AFTER_SUSPECTED: u32 = 2;
/// The same, of executors that crashed as a run of the task began.
const ISOLATED_AFTER_AT_START: u32 = 1;
/// The same, of all losses.
const ISOLATED_AFTER_LOST: u32 = 4;
/// The number of losses without another suspect from which a crash in isolation shows the cause.
const SUSPECTED_MIN: u32 = 4;
/// The number of executors that crashed as a run of the task began from which a crash in isolation shows
/// the cause, if no other executor was lost then.
const CRASHED_AT_START_MIN: u32 = 2;
/// The number of losses without another suspect from which a task is the cause in any case.
const SUSPECTED_MAX: u32 = 5;
/// The number of losses from which a task is the cause whatever else is known.
const LOST_MAX: u32 = 10;
/// The number of other executors that are lost together, or at about the same time without a start just
/// before, from which a crash counts as caused from outside, such as by a loss of power.
const OTHERS_LOST_MIN: usize = 3;

/// What is known of the executors that were lost while they ran one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashFacts {
    /// The number of lost executors.
    pub lost: u32,
    /// The number of these on which no other task is a likelier cause.
    pub suspected: u32,
    /// The number of these that crashed as a run of the task began.
    pub at_start: u32,
    /// Whether the last of them crashed while it ran the task in isolation.
    pub was_isolated: bool,
    /// The number of other executors that were lost together with it.
    pub lost_together: usize,
    /// The number of other executors that were lost at about the same time and had not just started a
    /// run.
    pub others_lost: usize,
}

impl CrashFacts {
    /// Returns whether the task starts only in isolation: a crash is then its own.
    pub fn needs_isolation(&self) -> bool {
        self.suspected >= ISOLATED_AFTER_SUSPECTED
            || self.at_start >= ISOLATED_AFTER_AT_START
            || self.lost >= ISOLATED_AFTER_LOST
    }

    /// Returns whether so many executors were lost that the task is the cause in any case.
    pub fn is_over_limit(&self) -> bool {
        self.suspected >= SUSPECTED_MAX || self.lost >= LOST_MAX
    }

    /// Returns whether the task is the cause of the crashes.
    pub fn is_cause(&self) -> bool {
        let is_from_outside =
            self.lost_together >= OTHERS_LOST_MIN || self.others_lost >= OTHERS_LOST_MIN;
        let is_shown = self.suspected >= SUSPECTED_MIN;
        let is_shown_by_starts = self.at_start >= CRASHED_AT_START_MIN && self.others_lost == 0;
        let is_judged = self.was_isolated && !is_from_outside;
        is_judged && (is_shown || is_shown_by_starts) || self.is_over_limit()
    }
}
