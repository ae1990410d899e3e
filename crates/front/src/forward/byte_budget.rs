use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::time::Instant;

/// A token bucket for traffic with other failure domains, in bytes.
///
/// The balance is at most what the rate yields in one second.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    balance: Mutex<(f64, Instant)>,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: usize) -> Self {
        let bytes_per_second = bytes_per_second as f64;
        Self {
            bytes_per_second,
            balance: Mutex::new((bytes_per_second, Instant::now())),
        }
    }

    /// Withdraws bytes; returns false and withdraws nothing if the balance is too low.
    pub fn try_withdraw(&self, bytes: usize) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earned = now.duration_since(balance.1).as_secs_f64() * self.bytes_per_second;
        let available = (balance.0 + earned).min(self.bytes_per_second);
        let left = available - bytes as f64;
        *balance = (if left < 0.0 { available } else { left }, now);
        left >= 0.0
    }

    /// Withdraws bytes that were already transferred; the balance may fall below zero.
    pub fn withdraw(&self, bytes: usize) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        balance.0 -= bytes as f64;
    }
}
