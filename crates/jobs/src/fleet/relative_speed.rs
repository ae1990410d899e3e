use std::time::Duration;

use tokio::time::Instant;

/// The time after which a sample counts by 1/e. An executor that gets less work for being slow is tried
/// again within some times of it.
const DECAY: Duration = Duration::from_secs(10);
/// The variance of the logarithm of executors' slowdowns without any fault. Samples outweigh the
/// assumption of an equal speed when their own variance, by their number, is smaller.
const USUAL_VARIANCE: f64 = 0.04;
/// Limits the slowdown in one sample, so that one task that takes seven times as long is not taken for
/// a slow executor.
const SAMPLE_MAX: f64 = 1.1;
/// The smallest slowdown that counts, as a logarithm; smaller ones are noise.
const SLOWDOWN_MIN: f64 = 0.15;

/// How fast an executor runs tasks, compared with other executors.
///
/// The slowdown is the natural logarithm of the ratio of run times: 0 for the usual speed, 0.69 for half
/// of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelativeSpeed {
    /// The sum of the samples, each by the inverse of its variance.
    weighted_sum: f64,
    weight: f64,
    updated_at: Option<Instant>,
}

impl RelativeSpeed {
    /// Adds the slowdown of one run, with the variance that such samples have on equal executors.
    pub fn record(&mut self, slowdown: f64, variance: f64, now: Instant) {
        let decay = self.decay(now);
        let weight = 1.0 / variance.max(USUAL_VARIANCE);
        self.weighted_sum =
            self.weighted_sum * decay + weight * slowdown.clamp(-SAMPLE_MAX, SAMPLE_MAX);
        self.weight = self.weight * decay + weight;
        self.updated_at = Some(now);
    }

    /// Returns by how much the executor is slower than others; 0 for usual and unknown speeds.
    pub fn slowdown(&self, now: Instant) -> f64 {
        if self.weighted_sum <= 0.0 {
            return 0.0;
        }
        let decay = self.decay(now);
        let slowdown = self.weighted_sum * decay / (self.weight * decay + 1.0 / USUAL_VARIANCE);
        match slowdown >= SLOWDOWN_MIN {
            true => slowdown,
            false => 0.0,
        }
    }

    fn decay(&self, now: Instant) -> f64 {
        self.updated_at.map_or(1.0, |at| {
            (-now.duration_since(at).as_secs_f64() / DECAY.as_secs_f64()).exp()
        })
    }
}
