use super::EstimateRatio;
use super::TimeSpread;

/// The spread of the logarithm of a remaining time that follows from the run's own speed.
const MEASURED_LOG_SPREAD: f64 = 0.15;
/// A run that has taken longer than this share of such runs does not follow their distribution.
const OUTLIER_SHARE: f64 = 0.95;

/// What is known about the end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOutlook {
    /// The estimate of the whole run time where the run is, in milliseconds.
    pub estimate_ms: f64,
    /// The error that such estimates have shown.
    pub ratio: EstimateRatio,
    /// The share of the work that was done at the last progress, 0 to 100.
    pub progress_percent: f64,
    /// The time since the last progress, in milliseconds.
    pub progress_age_ms: f64,
    /// The progress that the run was seen to make, in percent per millisecond, if it is known.
    pub speed_percent_per_ms: Option<f64>,
}

impl RunOutlook {
    /// Returns the remaining time of the run, given that it has not ended yet.
    ///
    /// The remaining time of a run that has taken far longer than expected is unknown and counts as
    /// the estimate.
    pub fn remaining(&self) -> TimeSpread {
        let left_share = ((100.0 - self.progress_percent) / 100.0).clamp(0.0, 1.0);
        let left = match self.speed_percent_per_ms {
            Some(speed) if speed > 0.0 => EstimateRatio {
                median: (100.0 * left_share / speed).max(1.0),
                log_spread: MEASURED_LOG_SPREAD,
            },
            _ => EstimateRatio {
                median: (self.estimate_ms * self.ratio.median * left_share).max(1.0),
                ..self.ratio
            },
        };
        if left.share_below(self.progress_age_ms) > OUTLIER_SHARE {
            return TimeSpread::of_run(self.estimate_ms, self.ratio);
        }
        TimeSpread::from_points(|share| left.quantile_above(self.progress_age_ms, share))
    }
}
