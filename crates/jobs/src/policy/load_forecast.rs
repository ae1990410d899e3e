/// The variance of the load of a step before its first sample.
const INITIAL_LOAD_VARIANCE: f64 = 0.04;
/// The variance of the trend of a load before its first sample, per second squared.
const INITIAL_TREND_VARIANCE: f64 = 0.01;
/// The variance that the trend gains per second.
const TREND_DRIFT_VARIANCE_PER_S: f64 = 0.005;
/// The variance of one measured utilization, as a figure for the step's load.
const MEASUREMENT_VARIANCE: f64 = 0.04 * 0.04;
/// The steepest plausible change of a load, per second.
const TREND_MAX_PER_S: f64 = 0.2;
/// The highest load; tails can't distinguish higher ones.
pub(super) const LOAD_MAX: f64 = 0.98;

/// The load that their own users put on the tasks of a serving step, 0 to 1: a Kalman filter with a
/// level and a linear trend.
///
/// The tasks of a step share its users. Those with no or little interference beside them tell the load
/// of all.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadForecast {
    load: f64,
    trend_per_s: f64,
    load_variance: f64,
    covariance: f64,
    trend_variance: f64,
    updated_ms: u64,
}

impl LoadForecast {
    /// Creates a forecast for a step without samples.
    pub(super) fn new(load: f64, now_ms: u64) -> Self {
        Self {
            load,
            trend_per_s: 0.0,
            load_variance: INITIAL_LOAD_VARIANCE,
            covariance: 0.0,
            trend_variance: INITIAL_TREND_VARIANCE,
            updated_ms: now_ms,
        }
    }

    /// Returns the expected load at a time.
    pub(super) fn at(&self, time_ms: u64) -> f64 {
        let load = self.load + self.trend_per_s * self.age_s(time_ms);
        load.clamp(0.0, LOAD_MAX)
    }

    /// Returns the variance of the expected load at a time.
    pub(super) fn variance_at(&self, time_ms: u64) -> f64 {
        let ahead_s = self.age_s(time_ms);
        let drift = TREND_DRIFT_VARIANCE_PER_S * ahead_s.powi(3) / 3.0;
        self.load_variance
            + 2.0 * ahead_s * self.covariance
            + ahead_s * ahead_s * self.trend_variance
            + drift
    }

    /// Returns the time since the last sample, in milliseconds.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }

    /// Updates the forecast with the load of one task, from which the extra utilization by fillers
    /// is subtracted; `extra_variance` is the variance of that extra utilization.
    pub(super) fn update(&mut self, load: f64, extra_variance: f64, now_ms: u64) {
        let span_s = self.age_s(now_ms);
        self.load_variance = self.variance_at(now_ms);
        self.covariance +=
            span_s * self.trend_variance + TREND_DRIFT_VARIANCE_PER_S * span_s * span_s / 2.0;
        self.trend_variance =
            (self.trend_variance + TREND_DRIFT_VARIANCE_PER_S * span_s).min(INITIAL_TREND_VARIANCE);
        let expected = self.load + self.trend_per_s * span_s;
        let total_variance = self.load_variance + MEASUREMENT_VARIANCE + extra_variance;
        let load_gain = self.load_variance / total_variance;
        let trend_gain = self.covariance / total_variance;
        let error = load - expected;
        self.load = (expected + load_gain * error).clamp(0.0, LOAD_MAX);
        let trend_per_s = self.trend_per_s + trend_gain * error;
        self.trend_per_s = trend_per_s.clamp(-TREND_MAX_PER_S, TREND_MAX_PER_S);
        self.trend_variance -= trend_gain * self.covariance;
        self.covariance *= 1.0 - load_gain;
        self.load_variance *= 1.0 - load_gain;
        self.updated_ms = now_ms;
    }

    fn age_s(&self, time_ms: u64) -> f64 {
        self.age_ms(time_ms) as f64 / 1_000.0
    }
}
