use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use super::time_since_boot;
use crate::observe::Decision;
use crate::observe::decided;

/// Failed calls in a row after which the store counts as lost.
const FAILURES_MAX: u32 = 3;
/// The usual time of a small call from which the store counts as slow, in milliseconds; a store
/// answers in about 4 ms, and the way there takes some more.
const SLOW_MS: f64 = 60.0;
/// How far the usual time follows the last one.
const SMOOTHING: f64 = 0.5;

/// Whether the store can be reached from this process.
#[derive(Debug)]
pub struct StoreHealth {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    answered_at: Duration,
    failures: u32,
    /// The usual time of a small call, in milliseconds.
    usual_ms: f64,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                answered_at: time_since_boot(),
                failures: 0,
                usual_ms: 0.0,
            }),
        }
    }
}

impl StoreHealth {
    /// Notes an answer to a call that was sent at the given time since boot.
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

    /// Notes a call without an answer, or one that the store refused.
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

    /// Notes the time of a small call that the store answers without waiting.
    pub fn record_latency(&self, took: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let was_slow = state.usual_ms >= SLOW_MS;
        state.usual_ms += SMOOTHING * (took.as_secs_f64() * 1_000.0 - state.usual_ms);
        let is_slow = state.usual_ms >= SLOW_MS;
        if is_slow != was_slow {
            decided!(Decision::StoreSpeed, is_slow: is_slow, usual_ms: state.usual_ms as u64);
        }
    }

    /// Returns whether the store takes many times as long as it should.
    pub fn is_slow(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.usual_ms >= SLOW_MS
    }

    /// Returns whether the last calls failed.
    pub fn is_unreachable(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.failures >= FAILURES_MAX
    }

    /// Returns the time since the newest call that was answered, counted from its sending.
    pub fn time_since_contact(&self) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        time_since_boot().saturating_sub(state.answered_at)
    }
}
