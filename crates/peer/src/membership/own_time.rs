/// How long a clock may stand still for its reader before that counts as a pause.
const STEP_MAX_MS: u64 = 2_500;

/// Time during which this process ran: a pause of the process counts only in part, so that
/// a process that was frozen does not take its own silence for that of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnTime {
    clock_ms: u64,
    elapsed_ms: u64,
}

impl OwnTime {
    /// Takes in the clock and returns the time in milliseconds.
    pub(super) fn advance(&mut self, clock_ms: u64) -> u64 {
        self.elapsed_ms = self.at(clock_ms);
        self.clock_ms = self.clock_ms.max(clock_ms);
        self.elapsed_ms
    }

    /// Returns the time in milliseconds without taking in the clock.
    pub(super) fn at(&self, clock_ms: u64) -> u64 {
        let step_ms = clock_ms.saturating_sub(self.clock_ms);
        self.elapsed_ms + step_ms.min(STEP_MAX_MS)
    }
}
