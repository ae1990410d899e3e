use std::cmp::Ordering;

use crate::model::ExecutorId;

/// An executor that a task may be placed on. The order is by score; greater is better.
#[derive(Clone, Debug)]
pub(super) struct ScoredExecutor {
    pub(super) score: f64,
    pub(super) executor: ExecutorId,
}

impl Ord for ScoredExecutor {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        // Ties go to the first id, so that placement is deterministic.
        by_score.then_with(|| other.executor.cmp(&self.executor))
    }
}

impl PartialOrd for ScoredExecutor {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScoredExecutor {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScoredExecutor {}
