use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use super::time_since_boot;
use crate::observe::Decision;
use crate::observe::decided;

/// Consecutive failed calls after which the store counts as unreachable.
const FAILURES_MAX: u32 = 3;
/// The average latency of small calls from which the store counts as slow. A healthy store answers
/// in about 4 ms plus the network round trip.
const SLOW_LATENCY_MS: f64 = 60.0;
/// The weight of the latest call in the moving average of latencies.
const LATENCY_SMOOTHING: f64 = 0.5;

/// Reachability and latency of the store as seen from this process.
#[derive(Debug)]
pub struct StoreHealth {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The send time of the latest answered call, since boot.
    answered_at: Duration,
    /// Failed calls since the last answer.
    failures: u32,
    /// The exponentially weighted moving average of the latency of small calls.
    latency_ms: f64,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                answered_at: time_since_boot(),
                failures: 0,
                latency_ms: 0.0,
            }),
        }
    }
}

impl StoreHealth {
    /// Records an answer to a call that was sent at `sent_at`, measured since boot.
    pub fn record_answer(&self, sent_at: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.failures >= FAILURES_MAX {
            let away_ms = time_since_boot()
                .saturating_sub(state.answered_at)
                .as_millis();
            decided!(Decision::StoreRegained, away_ms: away_ms);
        }
        state.failures = 0;
        state.answered_at = state.answered_at.max(sent_at);
    }

    /// Records a call that got no answer or that the store refused.
    pub fn record_failure(&self, cause: &dyn std::fmt::Display) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.failures = state.failures.saturating_add(1);
        if state.failures == FAILURES_MAX {
            let silent_ms = time_since_boot()
                .saturating_sub(state.answered_at)
                .as_millis();
            decided!(Decision::StoreLost, silent_ms: silent_ms, cause: cause);
        }
    }

    /// Records the latency of a small call that the store answers without waiting.
    pub fn record_latency(&self, latency: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let was_slow = state.latency_ms >= SLOW_LATENCY_MS;
        state.latency_ms +=
            LATENCY_SMOOTHING * (latency.as_secs_f64() * 1_000.0 - state.latency_ms);
        let is_slow = state.latency_ms >= SLOW_LATENCY_MS;
        if is_slow != was_slow {
            decided!(Decision::StoreSpeed, is_slow: is_slow, usual_ms: state.latency_ms as u64);
        }
    }

    /// Returns whether the average latency is many times that of a healthy store.
    pub fn is_slow(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.latency_ms >= SLOW_LATENCY_MS
    }

    /// Returns whether the store counts as unreachable: the latest calls all failed.
    pub fn is_unreachable(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.failures >= FAILURES_MAX
    }

    /// Returns the time since the latest answered call was sent. The send time is a lower bound for
    /// the moment at which the store was alive.
    pub fn time_since_contact(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        time_since_boot().saturating_sub(state.answered_at)
    }
}
