use std::collections::BTreeMap;
use std::f64::consts::PI;

use crate::model::QueueName;

/// The weight of the assumptions about a queue without runs, in runs.
const PRIOR_RUNS: f64 = 5.0;
/// The assumed spread of the ratio's logarithm. Estimates are known to be off by 0.2 to 0.9.
const PRIOR_LOG_SPREAD: f64 = 0.4;
/// The smallest spread that a distribution is computed for.
const LOG_SPREAD_MIN: f64 = 0.02;
/// The number of runs over which older ones lose their influence.
const MEMORY_RUNS: f64 = 100.0;
/// The smallest and the largest ratio that counts, so that one extreme run does not dominate.
const RATIO_RANGE: (f64, f64) = (0.05, 20.0);

/// The ratio of measured to estimated run times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimateRatio {
    /// The median.
    pub median: f64,
    /// The standard deviation of the natural logarithm.
    pub log_spread: f64,
}

impl Default for EstimateRatio {
    /// Returns the assumptions about a queue without runs.
    fn default() -> Self {
        Self {
            median: 1.0,
            log_spread: PRIOR_LOG_SPREAD,
        }
    }
}

impl EstimateRatio {
    /// Returns the share of ratios below a value.
    ///
    /// The logarithm of the ratio has a logistic distribution, whose tails are heavier than those of
    /// a normal one, and which needs no tables.
    pub fn share_below(&self, value: f64) -> f64 {
        1.0 - self.share_above(value)
    }

    /// Returns the quantile of the ratios above a value, less that value. `share` is the share of
    /// them that is smaller, 0 to 1.
    pub fn quantile_above(&self, value: f64, share: f64) -> f64 {
        let above = self.share_above(value) * (1.0 - share);
        self.median * ((1.0 - above) / above).powf(1.0 / self.shape()) - value
    }

    fn share_above(&self, value: f64) -> f64 {
        1.0 / (1.0 + (value / self.median).powf(self.shape()))
    }

    /// Returns the shape parameter of the log-logistic distribution.
    fn shape(&self) -> f64 {
        PI / (3.0_f64.sqrt() * self.log_spread.max(LOG_SPREAD_MIN))
    }
}

/// The error of the run time estimates of each queue, from the runs that this owner saw.
#[derive(Clone, Debug, Default)]
pub struct EstimateErrors {
    queues: BTreeMap<QueueName, LogRatios>,
}

/// Sums over the logarithms of ratios, in which older runs fade.
#[derive(Clone, Copy, Debug, Default)]
struct LogRatios {
    runs: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl EstimateErrors {
    /// Records a run that took `measured_ms` and was estimated at `estimate_ms`.
    pub fn record(&mut self, queue: &QueueName, estimate_ms: f64, measured_ms: f64) {
        let (min, max) = RATIO_RANGE;
        let log = (measured_ms / estimate_ms.max(1.0)).clamp(min, max).ln();
        let ratios = self.queues.entry(queue.clone()).or_default();
        let kept = 1.0 - 1.0 / MEMORY_RUNS;
        ratios.runs = ratios.runs * kept + 1.0;
        ratios.sum = ratios.sum * kept + log;
        ratios.sum_of_squares = ratios.sum_of_squares * kept + log * log;
    }

    /// Returns the ratio for a queue.
    pub fn ratio(&self, queue: &QueueName) -> EstimateRatio {
        let Some(ratios) = self.queues.get(queue) else {
            return EstimateRatio::default();
        };
        let weight = ratios.runs + PRIOR_RUNS;
        let mean = ratios.sum / weight;
        let prior_squares = PRIOR_RUNS * PRIOR_LOG_SPREAD.powi(2);
        let variance = (ratios.sum_of_squares + prior_squares) / weight - mean * mean;
        EstimateRatio {
            median: mean.exp(),
            log_spread: variance.max(0.0).sqrt(),
        }
    }
}
