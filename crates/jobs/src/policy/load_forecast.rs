use super::ImageLoad;

/// The mean load of an image before its first sample.
const INITIAL_MEAN_LOAD: f64 = 0.42;
/// The peak load of an image before its first sample.
const INITIAL_PEAK_LOAD: f64 = 0.62;
/// The tail ratio of an idle task before the first sample of its image.
const INITIAL_IDLE_RATIO: f64 = 0.22;
/// The weight of one sample in the mean load of an image.
const MEAN_SMOOTHING: f64 = 0.02;
/// The share of the distance to the mean load by which the peak load decays with each sample.
const PEAK_DECAY: f64 = 0.002;
/// The highest load that is estimated from a tail; tails can't distinguish higher loads.
const LOAD_MAX: f64 = 0.98;
/// The weight of a sample above the forecast.
const RISE_GAIN: f64 = 1.0;
/// The weight of a sample below the forecast; it is smaller because measured tails are noisy.
const FALL_GAIN: f64 = 0.4;
/// The weight of one sample in the trend.
const TREND_GAIN: f64 = 0.25;
/// The steepest plausible change of a load, per second.
const TREND_MAX_PER_S: f64 = 0.15;
/// The shortest time between samples from which a trend is computed, in seconds.
const TREND_SPAN_MIN_S: f64 = 0.25;

impl Default for ImageLoad {
    fn default() -> Self {
        Self {
            usual: INITIAL_MEAN_LOAD,
            peak: INITIAL_PEAK_LOAD,
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

    /// Updates the mean load and the idle ratio from a tail ratio measured without fillers.
    pub(super) fn update_undisturbed(&mut self, ratio: f64) {
        self.idle_ratio = self.idle_ratio.min(ratio);
        self.usual += MEAN_SMOOTHING * (self.utilization_at(ratio) - self.usual);
    }

    /// Raises the peak load to the load of one task, or lets it decay towards the mean.
    pub(super) fn update_peak(&mut self, load: f64) {
        self.peak = load.max(self.peak - PEAK_DECAY * (self.peak - self.usual));
    }
}

/// The load that its own users put on a serving task: an exponentially smoothed level with a
/// linear trend.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadForecast {
    load: f64,
    trend_per_s: f64,
    updated_ms: u64,
}

impl LoadForecast {
    pub(super) fn new(load: f64, now_ms: u64) -> Self {
        Self {
            load,
            trend_per_s: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Returns the expected load at a time.
    pub(super) fn at(&self, time_ms: u64) -> f64 {
        let ahead_s = time_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        (self.load + self.trend_per_s * ahead_s).clamp(0.0, LOAD_MAX)
    }

    /// Returns the time since the last sample, in milliseconds.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }

    pub(super) fn update(&mut self, load: f64, now_ms: u64) {
        let span_s = (self.age_ms(now_ms) as f64 / 1_000.0).max(TREND_SPAN_MIN_S);
        let error = load - self.at(now_ms);
        let trend_per_s = self.trend_per_s + TREND_GAIN * error / span_s;
        let gain = if error > 0.0 { RISE_GAIN } else { FALL_GAIN };
        self.load = self.at(now_ms) + gain * error;
        self.trend_per_s = trend_per_s.clamp(-TREND_MAX_PER_S, TREND_MAX_PER_S);
        self.updated_ms = now_ms;
    }
}
