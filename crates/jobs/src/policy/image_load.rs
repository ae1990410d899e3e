use serde::Deserialize;
use serde::Serialize;

use super::load_forecast::LOAD_MAX;

/// The mean load of an image before its first sample.
const INITIAL_MEAN_LOAD: f64 = 0.42;
/// The variance of the load of an image before its first sample.
const INITIAL_LOAD_VARIANCE: f64 = 0.14 * 0.14;
/// The peak load lies this many standard deviations above the mean; at a sinusoidal swing it is the
/// square root of 2.
const PEAK_DEVIATIONS: f64 = 1.45;
/// The tail ratio of an idle task before the first sample of its image.
const INITIAL_IDLE_RATIO: f64 = 0.22;
/// The weight of one sample in the mean and the variance of the load of an image.
const LOAD_SMOOTHING: f64 = 0.002;

/// The load that their own users put on the tasks of a serving image, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ImageLoad {
    /// The mean load.
    pub usual: f64,
    /// The variance of the load, over time and between tasks.
    pub variance: f64,
    /// The tail latency of an idle task, as a multiple of its target.
    pub idle_ratio: f64,
}

impl Default for ImageLoad {
    fn default() -> Self {
        Self {
            usual: INITIAL_MEAN_LOAD,
            variance: INITIAL_LOAD_VARIANCE,
            idle_ratio: INITIAL_IDLE_RATIO,
        }
    }
}

impl ImageLoad {
    /// Estimates the utilization of a task from its tail ratio, 0 to 1.
    ///
    /// Assumes a single-server queue, whose tail latency grows with the reciprocal of the idle
    /// capacity.
    pub(super) fn utilization_at(&self, ratio: f64) -> f64 {
        (1.0 - self.idle_ratio / ratio).clamp(0.0, LOAD_MAX)
    }

    /// Returns the peak load.
    ///
    /// It follows from mean and variance instead of the highest sample, because some tails are
    /// measured far too high.
    pub(super) fn peak(&self) -> f64 {
        (self.usual + PEAK_DEVIATIONS * self.variance.sqrt()).min(LOAD_MAX)
    }

    /// Updates the tail ratio of an idle task from a tail ratio measured without fillers.
    pub(super) fn update_idle_ratio(&mut self, ratio: f64) {
        self.idle_ratio = self.idle_ratio.min(ratio);
    }

    /// Updates the mean and the variance from the load of one task.
    pub(super) fn update_load(&mut self, load: f64) {
        let difference = load - self.usual;
        self.usual += LOAD_SMOOTHING * difference;
        self.variance += LOAD_SMOOTHING * (difference * difference - self.variance);
    }
}
