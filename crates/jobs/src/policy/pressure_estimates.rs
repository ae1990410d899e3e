use std::collections::BTreeMap;

use crate::model::ImageName;

/// The largest number of pairs; clients choose the names of images.
const PAIRS_MAX: usize = 4_096;
/// The expected pressure of an unknown pair.
const PRIOR_MEAN: f64 = 0.4;
/// The variance of the pressure of an unknown pair.
const PRIOR_VARIANCE: f64 = 0.5;
/// The growth of the variance without samples, per second: pressures change slowly.
const DRIFT_VARIANCE_PER_S: f64 = 0.0005;
/// The variance of one measured utilization.
const MEASUREMENT_VARIANCE: f64 = 0.05 * 0.05;
/// Errors of a measurement beyond this multiple of the expected deviation lose weight, because some
/// tails are measured far too high.
const OUTLIER_DEVIATIONS: f64 = 2.0;
/// The range of plausible pressures.
const PRESSURE_RANGE: (f64, f64) = (0.0, 5.0);

/// A serving image and a filler image on one executor.
type ImagePair = (ImageName, ImageName);

/// The extra utilization that a filler image causes to the tasks of a serving image, per unit of the
/// executor's processors that the filler uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pressure {
    pub(super) mean: f64,
    pub(super) variance: f64,
}

impl Pressure {
    const UNKNOWN: Self = Self {
        mean: PRIOR_MEAN,
        variance: PRIOR_VARIANCE,
    };

    /// Returns the standard deviation of the estimate.
    pub(super) fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }
}

/// An estimate with the time of its last sample.
#[derive(Clone, Copy, Debug)]
struct PairEstimate {
    pressure: Pressure,
    updated_ms: u64,
}

impl PairEstimate {
    fn at(&self, now_ms: u64) -> Pressure {
        let age_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        let variance = self.pressure.variance + DRIFT_VARIANCE_PER_S * age_s;
        Pressure {
            variance: variance.min(PRIOR_VARIANCE),
            ..self.pressure
        }
    }
}

/// Pressures of pairs of images, estimated by a Kalman filter that treats pairs as independent.
///
/// When the table is full, a new pair replaces the one that was updated least recently.
#[derive(Clone, Debug, Default)]
pub(super) struct PressureEstimates {
    pairs: BTreeMap<ImagePair, PairEstimate>,
}

impl PressureEstimates {
    /// Returns the estimate of a pair.
    pub(super) fn get(&self, serving: &ImageName, filler: &ImageName, now_ms: u64) -> Pressure {
        let pair = (serving.clone(), filler.clone());
        let estimate = self.pairs.get(&pair);
        estimate.map_or(Pressure::UNKNOWN, |known| known.at(now_ms))
    }

    /// Returns all known pairs with their estimates.
    pub(super) fn entries(&self, now_ms: u64) -> impl Iterator<Item = (&ImagePair, Pressure)> {
        let pairs = self.pairs.iter();
        pairs.map(move |(pair, estimate)| (pair, estimate.at(now_ms)))
    }

    /// Sets the estimate of a pair that another table learned.
    pub(super) fn restore(&mut self, pair: ImagePair, pressure: Pressure, now_ms: u64) {
        self.evict_oldest_if_full(&pair);
        let estimate = PairEstimate {
            pressure,
            updated_ms: now_ms,
        };
        self.pairs.insert(pair, estimate);
    }

    /// Updates the estimates of the fillers beside a serving image from one measured extra
    /// utilization, whose variance is `load_variance` beyond that of the measurement itself.
    ///
    /// `shares` holds the part of the executor's processors that each filler image used.
    pub(super) fn learn(
        &mut self,
        serving: &ImageName,
        shares: &[(ImageName, f64)],
        extra: f64,
        load_variance: f64,
        now_ms: u64,
    ) {
        let known: Vec<Pressure> = shares
            .iter()
            .map(|(filler, _)| self.get(serving, filler, now_ms))
            .collect();
        let terms = || shares.iter().map(|(_, share)| *share).zip(&known);
        let expected: f64 = terms().map(|(share, known)| known.mean * share).sum();
        let uncertainty: f64 = terms()
            .map(|(share, known)| known.variance * share * share)
            .sum();
        let error = extra - expected;
        let total_variance = uncertainty + load_variance + MEASUREMENT_VARIANCE;
        let excess = error * error / (total_variance * OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS);
        let total_variance = total_variance * excess.max(1.0);
        let (least, most) = PRESSURE_RANGE;
        for ((filler, share), known) in shares.iter().zip(&known) {
            let gain = known.variance * share / total_variance;
            let pressure = Pressure {
                mean: (known.mean + gain * error).clamp(least, most),
                variance: known.variance * (1.0 - gain * share),
            };
            self.restore((serving.clone(), filler.clone()), pressure, now_ms);
        }
    }

    fn evict_oldest_if_full(&mut self, pair: &ImagePair) {
        if self.pairs.len() < PAIRS_MAX || self.pairs.contains_key(pair) {
            return;
        }
        let oldest = self.pairs.iter().min_by_key(|(_, known)| known.updated_ms);
        if let Some(oldest) = oldest.map(|(pair, _)| pair.clone()) {
            self.pairs.remove(&oldest);
        }
    }
}
