use std::collections::BTreeMap;

use dotterelhook_types::ids::ServiceName;

use crate::placement::JobKey;

/// Learning rate of a pair's first sample.
const LEARNING_RATE_MAX: f64 = 0.2;
const LEARNING_RATE_MIN: f64 = 0.02;
/// Number of samples after which the learning rate has halved.
const RATE_HALVING_SAMPLES: f64 = 20.0;
/// Regularization of the normalized step; bounds the change when all shares are small.
const REGULARIZATION: f64 = 0.01;
/// Lower bound of a weight; below zero because of noise, see [`PairTable`].
const WEIGHT_MIN: f64 = -5.0;
const WEIGHT_MAX: f64 = 100.0;

/// A service and a batch job that share a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PairKey {
    /// The service.
    pub service: ServiceName,
    /// The batch job.
    pub job: JobKey,
}

#[derive(Clone, Copy, Debug)]
struct PairEstimate {
    weight: f64,
    samples: u32,
    updated_at_ms: u64,
}

/// Slowdown that each job causes to each service, learned by normalized least mean squares.
///
/// The weight of a pair is the relative excess latency that the job would cause by using all of a
/// worker's processors. A weight halves with each half-life without a sample. Noise may make a
/// weight negative. Weights are not cut off at zero: the noise of many pairs would add up to a
/// slowdown.
///
/// When the table is full, a new pair replaces the pair with the oldest update.
#[derive(Clone, Debug)]
pub struct PairTable<K> {
    pairs_max: usize,
    half_life_ms: u64,
    pairs: BTreeMap<K, PairEstimate>,
}

impl<K: Ord + Clone> PairTable<K> {
    /// Creates an empty table of at most `pairs_max` pairs.
    pub fn new(pairs_max: usize, half_life_ms: u64) -> Self {
        Self {
            pairs_max,
            half_life_ms: half_life_ms.max(1),
            pairs: BTreeMap::new(),
        }
    }

    /// Returns the number of pairs in the table.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether the table has no pairs.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the decayed weight of a pair; zero for an unknown pair.
    pub fn weight(&self, pair: &K, now_ms: u64) -> f64 {
        let estimate = self.pairs.get(pair);
        estimate.map_or(0.0, |known| known.weight * self.decay_factor(known, now_ms))
    }

    /// Returns the number of samples of a pair; zero for an unknown pair.
    pub fn samples(&self, pair: &K) -> u32 {
        self.pairs.get(pair).map_or(0, |estimate| estimate.samples)
    }

    /// Returns all pairs with their decayed weights and sample counts.
    pub fn entries(&self, now_ms: u64) -> impl Iterator<Item = (&K, f64, u32)> {
        self.pairs.iter().map(move |(pair, estimate)| {
            let weight = estimate.weight * self.decay_factor(estimate, now_ms);
            (pair, weight, estimate.samples)
        })
    }

    /// Inserts a pair learned by another table; replaces an existing entry of the pair.
    pub fn restore(&mut self, pair: K, weight: f64, samples: u32, now_ms: u64) {
        self.evict_oldest_if_full(&pair);
        let estimate = PairEstimate {
            weight: weight.clamp(WEIGHT_MIN, WEIGHT_MAX),
            samples,
            updated_at_ms: now_ms,
        };
        self.pairs.insert(pair, estimate);
    }

    /// Updates the weights with one measured excess.
    ///
    /// `shares` has one entry for each job beside the service: the job's processor share times the
    /// service's load.
    pub fn learn(&mut self, shares: &[(K, f64)], excess: f64, now_ms: u64) {
        self.learn_scaled(shares, excess, 1.0, now_ms);
    }

    /// Updates the weights like [`Self::learn`]; multiplies the learning rate by `rate_factor`.
    pub fn learn_scaled(
        &mut self,
        shares: &[(K, f64)],
        excess: f64,
        rate_factor: f64,
        now_ms: u64,
    ) {
        let weights = shares.iter().map(|(pair, _)| self.weight(pair, now_ms));
        let weights: Vec<f64> = weights.collect();
        let terms = shares.iter().zip(&weights);
        let predicted: f64 = terms.map(|((_, share), weight)| weight * share).sum();
        let power: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let normalized_error = (excess - predicted) / (power + REGULARIZATION);
        for ((pair, share), weight) in shares.iter().zip(weights) {
            let samples = self.samples(pair);
            let change = (learning_rate(samples) * rate_factor).min(1.0) * normalized_error * share;
            let estimate = PairEstimate {
                weight: (weight + change).clamp(WEIGHT_MIN, WEIGHT_MAX),
                samples: samples.saturating_add(1),
                updated_at_ms: now_ms,
            };
            self.evict_oldest_if_full(pair);
            self.pairs.insert(pair.clone(), estimate);
        }
    }

    fn decay_factor(&self, estimate: &PairEstimate, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(estimate.updated_at_ms);
        0.5_f64.powf(age_ms as f64 / self.half_life_ms as f64)
    }

    fn evict_oldest_if_full(&mut self, pair: &K) {
        if self.pairs.len() < self.pairs_max || self.pairs.contains_key(pair) {
            return;
        }
        let oldest = self
            .pairs
            .iter()
            .min_by_key(|(_, estimate)| estimate.updated_at_ms);
        if let Some(oldest) = oldest.map(|(pair, _)| pair.clone()) {
            self.pairs.remove(&oldest);
        }
    }
}

/// Returns the learning rate of a pair's next sample; the rate falls with the number of samples.
fn learning_rate(samples: u32) -> f64 {
    let falling = LEARNING_RATE_MAX / (1.0 + f64::from(samples) / RATE_HALVING_SAMPLES);
    falling.max(LEARNING_RATE_MIN)
}
