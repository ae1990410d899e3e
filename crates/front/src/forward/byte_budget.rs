use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::time::Instant;

/// Bytes that may be sent to other failure domains: a rate, and one second's worth saved.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    saved: Mutex<(f64, Instant)>,
}

impl ByteBudget {
    /// Creates a budget with one second's worth saved.
    pub fn new(bytes_per_second: usize) -> Self {
        let bytes_per_second = bytes_per_second as f64;
        Self {
            bytes_per_second,
            saved: Mutex::new((bytes_per_second, Instant::now())),
        }
    }

    /// Takes bytes, unless fewer are left.
    pub fn try_take(&self, bytes: usize) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earned = now.duration_since(saved.1).as_secs_f64() * self.bytes_per_second;
        let available = (saved.0 + earned).min(self.bytes_per_second);
        let left = available - bytes as f64;
        *saved = (if left < 0.0 { available } else { left }, now);
        left >= 0.0
    }

    /// Takes bytes that were used already; the budget may go below zero.
    pub fn take_used(&self, bytes: usize) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        saved.0 -= bytes as f64;
    }
}
