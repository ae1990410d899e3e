use std::cmp::Ordering;

use crate::model::ExecutorId;

/// An executor that a task may go to; larger ones suit better.
#[derive(Clone, Debug)]
pub(super) struct Place {
    /// How well it suits.
    pub(super) score: f64,
    /// The executor.
    pub(super) executor: ExecutorId,
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        // Among equals the first id, so that a round can be repeated.
        by_score.then_with(|| other.executor.cmp(&self.executor))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Place {}
