/// The largest clock step between two reads that counts in full; the rest counts as a pause.
const STEP_MAX_MS: u64 = 2_500;

/// Measures the time during which this process ran.
///
/// A pause of the process counts only up to `STEP_MAX_MS`. Otherwise a process that resumes
/// after a freeze would take its own pause for the silence of others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseTolerantClock {
    last_clock_ms: u64,
    elapsed_ms: u64,
}

impl PauseTolerantClock {
    /// Advances to a clock reading; returns the running time in milliseconds.
    pub(super) fn advance(&mut self, clock_ms: u64) -> u64 {
        self.elapsed_ms = self.elapsed_at(clock_ms);
        self.last_clock_ms = self.last_clock_ms.max(clock_ms);
        self.elapsed_ms
    }

    /// Returns the running time in milliseconds at a clock reading, without advancing.
    pub(super) fn elapsed_at(&self, clock_ms: u64) -> u64 {
        let step_ms = clock_ms.saturating_sub(self.last_clock_ms);
        self.elapsed_ms + step_ms.min(STEP_MAX_MS)
    }
}
