/// When the learned score lets work run, and when it steps in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedPairsSettings {
    /// Excess latency, as a share, above which a step is taken.
    pub act_excess: f64,
    /// Predicted excess up to which one more attempt is placed.
    pub place_excess: f64,
    /// The share of the excess that an attempt must be blamed for before it is stepped at.
    pub blame_min: f64,
    /// A pair with fewer samples is on trial.
    pub trusted_samples: u32,
    /// The most attempts of one pair on trial at once.
    pub trials_max: usize,
    /// The most pairs that are kept.
    pub pairs_max: usize,
    /// Time after which an unconfirmed score has halved.
    pub half_life_ms: u64,
}

impl Default for LearnedPairsSettings {
    fn default() -> Self {
        Self {
            act_excess: 0.15,
            place_excess: 0.12,
            blame_min: 0.3,
            trusted_samples: 6,
            trials_max: 2,
            pairs_max: 4_096,
            half_life_ms: 6 * 3_600_000,
        }
    }
}
