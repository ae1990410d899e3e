use std::time::Duration;

/// The timeout as a multiple of the lower quartile of latencies.
const QUARTILE_FACTOR: u32 = 4;
/// The factor by which a slow call raises the timeout.
const RISE: f64 = 1.1;
/// The factor by which a prompt call lowers the timeout: three times a rise, so that the timeout stays
/// where three of four calls are slow.
const FALL: f64 = RISE * RISE * RISE;

/// The timeout of an owner's calls to its executors, a multiple of the lower quartile of their
/// latencies.
///
/// Calls that are given up before their answers can arrive add load and bring nothing. If nearly all
/// calls are slow, such as on a full link, the timeout grows until answers arrive. Unreachable
/// executors and lost answers don't move the quartile, so a broken connection is still noticed soon.
#[derive(Clone, Debug)]
pub struct AnswerTimeout {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl AnswerTimeout {
    /// Creates a timeout of `min` that grows up to `max`, or stays constant if `max` is not longer.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max: max.max(min),
            current: min,
        }
    }

    /// Returns the timeout of the next call.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Records how long a call waited for its answer, also if none arrived in time.
    pub fn record(&mut self, latency: Duration) {
        let next = if latency * QUARTILE_FACTOR > self.current {
            self.current.mul_f64(RISE)
        } else {
            self.current.div_f64(FALL)
        };
        self.current = next.clamp(self.min, self.max);
    }
}
