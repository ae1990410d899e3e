use std::collections::BTreeMap;

use dotterelhook_types::ids::ServiceName;

use crate::placement::JobKey;

const FIRST_RATE: f64 = 0.2;
const LAST_RATE: f64 = 0.02;
const SETTLING_SAMPLES: f64 = 20.0;
const STABILIZER: f64 = 0.01;
const WEIGHT_MIN: f64 = -5.0;
const WEIGHT_MAX: f64 = 100.0;

/// A service and a batch job beside it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PairKey {
    /// The service.
    pub service: ServiceName,
    /// The job.
    pub job: JobKey,
}

#[derive(Clone, Copy, Debug)]
struct PairScore {
    weight: f64,
    samples: u32,
    updated_at_ms: u64,
}

/// By how much each job slows each service down, learned by least mean squares.
///
/// The weight of a pair is the excess latency, as a share, for a whole worker's processors
/// taken by the job. It halves with each half-life without a sample. Noise may make it
/// negative; cut off at zero, the noise of many pairs would add up to a slowdown.
#[derive(Clone, Debug)]
pub struct PairTable<K> {
    pairs_max: usize,
    half_life_ms: u64,
    pairs: BTreeMap<K, PairScore>,
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

    /// Returns the number of pairs.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    /// Returns whether no pair is known.
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Returns the weight of a pair; zero if it is unknown.
    pub fn weight(&self, pair: &K, now_ms: u64) -> f64 {
        let score = self.pairs.get(pair);
        score.map_or(0.0, |score| score.weight * self.decay(score, now_ms))
    }

    /// Returns the number of samples of a pair.
    pub fn samples(&self, pair: &K) -> u32 {
        self.pairs.get(pair).map_or(0, |score| score.samples)
    }

    /// Returns all pairs with their weights now and the numbers of their samples.
    pub fn entries(&self, now_ms: u64) -> impl Iterator<Item = (&K, f64, u32)> {
        self.pairs.iter().map(move |(pair, score)| {
            let weight = score.weight * self.decay(score, now_ms);
            (pair, weight, score.samples)
        })
    }

    /// Takes a pair over that another table has learned.
    pub fn restore(&mut self, pair: K, weight: f64, samples: u32, now_ms: u64) {
        self.make_room(&pair);
        let score = PairScore {
            weight: weight.clamp(WEIGHT_MIN, WEIGHT_MAX),
            samples,
            updated_at_ms: now_ms,
        };
        self.pairs.insert(pair, score);
    }

    /// Learns from one measured excess; `shares` are the jobs beside the service, once each,
    /// with the shares that they took, weighted by the service's load.
    pub fn learn(&mut self, shares: &[(K, f64)], excess: f64, now_ms: u64) {
        self.learn_scaled(shares, excess, 1.0, now_ms);
    }

    /// Learns as [`Self::learn`] does, at a multiple of its rate.
    pub fn learn_scaled(&mut self, shares: &[(K, f64)], excess: f64, speed: f64, now_ms: u64) {
        let weights = shares.iter().map(|(pair, _)| self.weight(pair, now_ms));
        let weights: Vec<f64> = weights.collect();
        let terms = shares.iter().zip(&weights);
        let predicted: f64 = terms.map(|((_, share), weight)| weight * share).sum();
        let power: f64 = shares.iter().map(|(_, share)| share * share).sum();
        let gain = (excess - predicted) / (power + STABILIZER);
        for ((pair, share), weight) in shares.iter().zip(weights) {
            let samples = self.samples(pair);
            let change = (rate(samples) * speed).min(1.0) * gain * share;
            let score = PairScore {
                weight: (weight + change).clamp(WEIGHT_MIN, WEIGHT_MAX),
                samples: samples.saturating_add(1),
                updated_at_ms: now_ms,
            };
            self.make_room(pair);
            self.pairs.insert(pair.clone(), score);
        }
    }

    fn decay(&self, score: &PairScore, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(score.updated_at_ms);
        0.5_f64.powf(age_ms as f64 / self.half_life_ms as f64)
    }

    fn make_room(&mut self, pair: &K) {
        if self.pairs.len() < self.pairs_max || self.pairs.contains_key(pair) {
            return;
        }
        let oldest = self
            .pairs
            .iter()
            .min_by_key(|(_, score)| score.updated_at_ms);
        if let Some(oldest) = oldest.map(|(pair, _)| pair.clone()) {
            self.pairs.remove(&oldest);
        }
    }
}

/// Returns how far a weight follows one sample; less once many were seen.
fn rate(samples: u32) -> f64 {
    let falling = FIRST_RATE / (1.0 + f64::from(samples) / SETTLING_SAMPLES);
    falling.max(LAST_RATE)
}
