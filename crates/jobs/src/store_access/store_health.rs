use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

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
/// How long a prompt answer to a small call shows that the store is prompt, although other calls have
/// no answer. Shorter than the wait for an append's answer, so a store that has just turned slow
/// isn't taken for one that loses answers.
const PROMPT_ANSWER_AGE_MAX: Duration = Duration::from_millis(300);
/// How long the latency of an append says something about the next one.
const APPEND_LATENCY_AGE_MAX: Duration = Duration::from_secs(5);

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
    /// The send times of the small calls that have no answer yet.
    unanswered: Vec<Instant>,
    /// The send time of the latest small call with a prompt answer.
    prompt_sent_at: Option<Instant>,
    /// The moving average of the latency of successful appends, and the time of the latest one.
    append: Option<(Duration, Instant)>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                answered_at: time_since_boot(),
                failures: 0,
                latency_ms: 0.0,
                unanswered: Vec::new(),
                prompt_sent_at: None,
                append: None,
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

    /// Records that a small call, which the store answers without waiting, is sent now.
    pub fn record_small_call(&self, sent_at: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.unanswered.push(sent_at);
    }

    /// Records the end of a small call, answered or not.
    pub fn record_small_call_end(&self, sent_at: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(index) = state.unanswered.iter().position(|at| *at == sent_at) {
            state.unanswered.swap_remove(index);
        }
    }

    /// Records the latency of a successful append.
    pub fn record_append_latency(&self, latency: Duration, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let average = match state.append {
            Some((average, at)) if now.duration_since(at) <= APPEND_LATENCY_AGE_MAX => {
                average.mul_f64(1.0 - LATENCY_SMOOTHING) + latency.mul_f64(LATENCY_SMOOTHING)
            }
            _ => latency,
        };
        state.append = Some((average, now));
    }

    /// Returns how long an append that is sent now is expected to take.
    pub fn expected_append(&self, now: Instant) -> Duration {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let small_call = Duration::from_secs_f64(state.latency_ms / 1_000.0);
        let recent = state
            .append
            .filter(|(_, at)| now.duration_since(*at) <= APPEND_LATENCY_AGE_MAX);
        recent.map_or(small_call, |(latency, _)| latency.max(small_call))
    }

    /// Returns whether the store answers small calls at its usual speed: an append without an answer
    /// since `sent_at` is then lost rather than slow.
    ///
    /// A small call that was sent after the append and answered promptly tells most. Without one, no
    /// small call may be slow.
    pub fn is_prompt(&self, sent_at: Instant, now: Instant) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_recent = |at: Instant| at >= sent_at && now - at <= PROMPT_ANSWER_AGE_MAX;
        let is_late = |at: &Instant| is_slow_latency(now.duration_since(*at));
        state.prompt_sent_at.is_some_and(is_recent)
            || state.latency_ms < SLOW_LATENCY_MS && !state.unanswered.iter().any(is_late)
    }

    /// Records the answer to a small call.
    pub fn record_small_answer(&self, sent_at: Instant, now: Instant) {
        let latency = now.duration_since(sent_at);
        self.record_latency(latency);
        if !is_slow_latency(latency) {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.prompt_sent_at = state.prompt_sent_at.max(Some(sent_at));
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

fn is_slow_latency(latency: Duration) -> bool {
    latency.as_secs_f64() * 1_000.0 >= SLOW_LATENCY_MS
}
