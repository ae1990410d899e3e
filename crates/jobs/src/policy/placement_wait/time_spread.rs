use super::EstimateRatio;

/// The number of points of a distribution. More would make the decisions of a round costly.
const POINTS: usize = 8;
/// The point that is later than most: 13 of 16.
const LATE_POINT: usize = 6;

/// The distribution of a time, as points of equal probability in rising order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TimeSpread {
    points_ms: [f64; POINTS],
}

impl TimeSpread {
    /// Returns the distribution with the given quantiles; `quantile` takes a share from 0 to 1.
    pub fn from_points(quantile: impl Fn(f64) -> f64) -> Self {
        let point = |index| quantile((index as f64 + 0.5) / POINTS as f64);
        Self {
            points_ms: std::array::from_fn(point),
        }
    }

    /// Returns a time that is certain.
    pub fn exact(time_ms: f64) -> Self {
        Self {
            points_ms: [time_ms; POINTS],
        }
    }

    /// Returns the time of a whole run with this estimate.
    pub fn of_run(estimate_ms: f64, ratio: EstimateRatio) -> Self {
        Self::from_points(|share| estimate_ms * ratio.quantile_above(0.0, share))
    }

    /// Returns the points, in milliseconds.
    pub fn points_ms(&self) -> &[f64] {
        &self.points_ms
    }

    /// Returns the middle of the distribution, in milliseconds.
    pub fn median_ms(&self) -> f64 {
        (self.points_ms[POINTS / 2 - 1] + self.points_ms[POINTS / 2]) / 2.0
    }

    /// Returns a time that is rarely exceeded, in milliseconds.
    pub fn late_ms(&self) -> f64 {
        self.points_ms[LATE_POINT]
    }

    /// Returns the sum of two times.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            points_ms: std::array::from_fn(|index| self.points_ms[index] + other.points_ms[index]),
        }
    }

    /// Returns the later one of two times.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        let later = |index: usize| self.points_ms[index].max(other.points_ms[index]);
        Self {
            points_ms: std::array::from_fn(later),
        }
    }
}
