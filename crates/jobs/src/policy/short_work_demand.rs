use dotterelhook_types::sizes::CpuMilli;

/// The time constant of the mean and the variance.
const TIME_CONSTANT_MS: f64 = 6_000.0;
/// The number of standard deviations by which the reserve exceeds the mean demand.
const RESERVE_DEVIATIONS: f64 = 2.0;

/// The processors of a pool that tasks with an end want, running or waiting: the mean over time and
/// its variance.
///
/// Long-running tasks hold their processors for long. What is left beside them has to suffice for the
/// tasks with an end that arrive later.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortWorkDemand {
    mean_milli: f64,
    variance: f64,
    updated_ms: u64,
}

impl ShortWorkDemand {
    /// Creates the demand of a pool that has had none so far.
    pub fn new(now_ms: u64) -> Self {
        Self {
            updated_ms: now_ms,
            ..Self::default()
        }
    }

    /// Records the demand since the last call.
    pub fn record(&mut self, wanted: CpuMilli, now_ms: u64) {
        let span_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let gain = 1.0 - (-span_ms / TIME_CONSTANT_MS).exp();
        let difference = wanted.0 as f64 - self.mean_milli;
        self.mean_milli += gain * difference;
        self.variance = (1.0 - gain) * (self.variance + gain * difference * difference);
        self.updated_ms = now_ms;
    }

    /// Returns the processors to keep free beside those that hold tasks with an end now.
    pub fn reserve(&self, running: CpuMilli) -> CpuMilli {
        let usual_milli = self.mean_milli + RESERVE_DEVIATIONS * self.variance.sqrt();
        CpuMilli((usual_milli as u64).saturating_sub(running.0))
    }
}
