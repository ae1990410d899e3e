use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const PERCENT_PER_REQUEST: u64 = 10;
const PERCENT_PER_RETRY: u64 = 100;
const KEPT_MAX_PERCENT: u64 = 10 * PERCENT_PER_RETRY;

/// Lets retries through as a share of fresh requests: one in ten, and ten saved at most.
#[derive(Debug)]
pub struct RetryBudget {
    percent: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            percent: AtomicU64::new(PERCENT_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Counts a fresh request.
    pub fn add_fresh(&self) {
        let add = |percent| Some(KEPT_MAX_PERCENT.min(percent + PERCENT_PER_REQUEST));
        let _ = self
            .percent
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry, unless the budget is spent.
    pub fn try_take(&self) -> bool {
        let take = |percent: u64| percent.checked_sub(PERCENT_PER_RETRY);
        self.percent
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .is_ok()
    }
}
