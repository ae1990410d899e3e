use super::RunTimeRatio;

/// The relative spread of a remaining time that follows from the run's own speed.
const MEASURED_SPREAD: f64 = 0.15;

/// An expected time with its spread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeSpread {
    /// The mean, in milliseconds.
    pub mean_ms: f64,
    /// The standard deviation, in milliseconds.
    pub spread_ms: f64,
}

impl TimeSpread {
    /// Returns the time of a whole run with this estimate.
    pub fn of_run(estimate_ms: f64, ratio: RunTimeRatio) -> Self {
        let mean_ms = estimate_ms * ratio.median;
        Self {
            mean_ms,
            spread_ms: mean_ms * ratio.log_spread,
        }
    }

    /// Returns the sum of two independent times.
    pub fn plus(self, other: Self) -> Self {
        Self {
            mean_ms: self.mean_ms + other.mean_ms,
            spread_ms: self.spread_ms.hypot(other.spread_ms),
        }
    }
}

/// What is known about the end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOutlook {
    /// The estimate of the whole run time where the run is, in milliseconds.
    pub estimate_ms: f64,
    /// The error that such estimates have shown.
    pub ratio: RunTimeRatio,
    /// The share of the work that was done at the last progress, 0 to 100.
    pub progress_percent: f64,
    /// The time since the last progress, in milliseconds.
    pub progress_age_ms: f64,
    /// The progress that the run was seen to make, in percent per millisecond, if it is known.
    pub speed_percent_per_ms: Option<f64>,
}

impl RunOutlook {
    /// Returns the remaining time of the run.
    ///
    /// The remaining time of a run that should have ended is unknown and counts as the estimate of
    /// what was left at the last progress.
    pub fn remaining(&self) -> TimeSpread {
        let left = (100.0 - self.progress_percent).clamp(0.0, 100.0);
        let (left_ms, spread) = match self.speed_percent_per_ms {
            Some(speed) if speed > 0.0 => (left / speed, MEASURED_SPREAD),
            _ => {
                let whole = TimeSpread::of_run(self.estimate_ms, self.ratio);
                (whole.mean_ms * left / 100.0, self.ratio.log_spread)
            }
        };
        let due_ms = left_ms - self.progress_age_ms;
        TimeSpread {
            mean_ms: if due_ms > 0.0 { due_ms } else { left_ms },
            spread_ms: left_ms * spread,
        }
    }
}
