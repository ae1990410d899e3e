use super::ImageLoad;

/// The load of an image's tasks before anything is learned.
const USUAL_LOAD: f64 = 0.42;
/// The highest load of an image's tasks before anything is learned.
const PEAK_LOAD: f64 = 0.62;
/// The tail without load before anything is learned, as a multiple of the target.
const IDLE_RATIO: f64 = 0.22;
/// How fast the mean load of an image follows one sample.
const USUAL_RATE: f64 = 0.02;
/// How fast the highest load of an image is forgotten with each sample.
const PEAK_RATE: f64 = 0.002;
/// Loads above this can't be told apart by their tails.
const LOAD_MAX: f64 = 0.98;
/// How far an estimate follows a sample that is higher.
const FOLLOW_UP: f64 = 1.0;
/// How far an estimate follows a sample that is lower; tails are rough figures.
const FOLLOW_DOWN: f64 = 0.4;
/// How far the trend follows one sample.
const TREND_FOLLOW: f64 = 0.25;
/// The steepest change of a load that is believed, a second.
const TREND_MAX_PER_S: f64 = 0.15;
/// The shortest time between samples that tells a trend, in seconds.
const TREND_SPAN_MIN_S: f64 = 0.25;

impl Default for ImageLoad {
    fn default() -> Self {
        Self {
            usual: USUAL_LOAD,
            peak: PEAK_LOAD,
            idle_ratio: IDLE_RATIO,
        }
    }
}

impl ImageLoad {
    /// Returns the share of its capacity that a task uses, from its tail.
    ///
    /// Tails grow as those of a single server's queue: with the reciprocal of what is left.
    pub(super) fn used_at(&self, ratio: f64) -> f64 {
        (1.0 - self.idle_ratio / ratio).clamp(0.0, LOAD_MAX)
    }

    /// Follows a tail that nothing disturbs.
    pub(super) fn follow_quiet(&mut self, ratio: f64) {
        self.idle_ratio = self.idle_ratio.min(ratio);
        self.usual += USUAL_RATE * (self.used_at(ratio) - self.usual);
    }

    /// Follows the load of one of the image's tasks.
    pub(super) fn follow_peak(&mut self, load: f64) {
        self.peak = load.max(self.peak - PEAK_RATE * (self.peak - self.usual));
    }
}

/// The load that a serving task's own users put on it, and where it goes.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadForecast {
    load: f64,
    trend_per_s: f64,
    at_ms: u64,
}

impl LoadForecast {
    pub(super) fn new(load: f64, now_ms: u64) -> Self {
        Self {
            load,
            trend_per_s: 0.0,
            at_ms: now_ms,
        }
    }

    /// Returns the load that is expected at a time.
    pub(super) fn at(&self, time_ms: u64) -> f64 {
        let ahead_s = time_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        (self.load + self.trend_per_s * ahead_s).clamp(0.0, LOAD_MAX)
    }

    /// Returns how long ago the last sample was, in milliseconds.
    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }

    /// Follows a sample.
    pub(super) fn follow(&mut self, load: f64, now_ms: u64) {
        let span_s = (self.age_ms(now_ms) as f64 / 1_000.0).max(TREND_SPAN_MIN_S);
        let missed = load - self.at(now_ms);
        let trend_per_s = self.trend_per_s + TREND_FOLLOW * missed / span_s;
        let follow = if missed > 0.0 { FOLLOW_UP } else { FOLLOW_DOWN };
        self.load = self.at(now_ms) + follow * missed;
        self.trend_per_s = trend_per_s.clamp(-TREND_MAX_PER_S, TREND_MAX_PER_S);
        self.at_ms = now_ms;
    }
}
