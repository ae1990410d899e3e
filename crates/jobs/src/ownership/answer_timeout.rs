use std::time::Duration;

/// The timeout as a multiple of the median latency.
const MEDIAN_FACTOR: u32 = 4;
/// The relative change of the timeout with each call.
const STEP: f64 = 0.1;

/// The timeout of an owner's calls to its executors, a multiple of their median latency.
///
/// Calls that are given up before their answers can arrive add load and bring nothing. If most calls
/// are slow, such as on a full link, the timeout grows until answers arrive. A few unreachable
/// executors don't move the median, so a broken connection is still noticed soon.
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
        let next = if latency * MEDIAN_FACTOR > self.current {
            self.current.mul_f64(1.0 + STEP)
        } else {
            self.current.div_f64(1.0 + STEP)
        };
        self.current = next.clamp(self.min, self.max);
    }
}
