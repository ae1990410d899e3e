use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const DEPOSIT_PERCENT: u64 = 10;
const RETRY_COST_PERCENT: u64 = 100;
const BALANCE_MAX_PERCENT: u64 = 10 * RETRY_COST_PERCENT;

/// Limits retries to a tenth of first attempts, with a balance of at most ten retries.
///
/// The balance is kept in percent of one retry.
#[derive(Debug)]
pub struct RetryBudget {
    balance_percent: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_percent: AtomicU64::new(RETRY_COST_PERCENT),
        }
    }
}

impl RetryBudget {
    /// Credits the budget with the share that a first attempt earns.
    pub fn deposit(&self) {
        let add = |balance| Some(BALANCE_MAX_PERCENT.min(balance + DEPOSIT_PERCENT));
        let _ = self
            .balance_percent
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Spends one retry; returns false if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let subtract = |balance: u64| balance.checked_sub(RETRY_COST_PERCENT);
        self.balance_percent
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, subtract)
            .is_ok()
    }
}
