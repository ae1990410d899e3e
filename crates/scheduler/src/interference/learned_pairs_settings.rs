/// Thresholds and bounds of [`LearnedPairs`](super::LearnedPairs).
///
/// An excess is the relative increase of a service's latency over its baseline: 0.15 means 15 %
/// slower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedPairsSettings {
    /// Measured excess above which an attempt is throttled or evicted.
    pub excess_max: f64,
    /// Predicted excess up to which one more attempt is placed or a throttled one is released.
    pub placement_excess_max: f64,
    /// Fraction of the measured excess that an attempt must be predicted to cause before an action
    /// is taken against it.
    pub attributed_min: f64,
    /// Number of samples below which a pair is on trial.
    pub trusted_samples_min: u32,
    /// Maximum number of attempts of one pair on trial at once.
    pub trials_max: usize,
    /// Maximum number of pairs in the table.
    pub pairs_max: usize,
    /// Time without samples in which a pair's weight halves.
    pub half_life_ms: u64,
}

impl Default for LearnedPairsSettings {
    fn default() -> Self {
        Self {
            excess_max: 0.15,
            placement_excess_max: 0.12,
            attributed_min: 0.3,
            trusted_samples_min: 6,
            trials_max: 2,
            pairs_max: 4_096,
            half_life_ms: 6 * 3_600_000,
        }
    }
}
