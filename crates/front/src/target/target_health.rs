use std::time::Duration;

use tokio::time::Instant;

/// The weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
const FAILURE_SAMPLES_MIN: u32 = 5;
const FAILURE_RATIO_MAX: f64 = 0.5;
/// A target is ejected when its latency exceeds that of its peers by this factor.
const LATENCY_RATIO_MAX: f64 = 8.0;
const SLOW_SAMPLES_MIN: u32 = 50;
const EJECTION_MIN: Duration = Duration::from_secs(2);
const EJECTION_MAX: Duration = Duration::from_secs(60);
const RECOVERY_PROBES: u32 = 3;
const BACKOFF_MIN: Duration = Duration::from_millis(5);
const BACKOFF_MAX: Duration = Duration::from_secs(1);
const DRAINING_RETENTION: Duration = Duration::from_secs(60);

/// The result of one attempt at a target, as far as it bears on the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered without a server error.
    Success {
        /// The time from sending the request until the answer is complete, or its relay starts.
        latency: Duration,
    },
    /// The attempt failed to connect, broke off, timed out or ended in a server error.
    Failed,
    /// The target refused the request because it has no free slot.
    Full,
    /// The target refused the request because it is draining.
    Draining,
}

/// The state of a target's circuit breaker, which limits the requests sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Closed: the front uses its full share of slots.
    Healthy,
    /// Open: the target receives no requests.
    Ejected {
        /// The time at which probing begins.
        until: Instant,
    },
    /// Half open: one request at a time tests whether the target has recovered.
    Probing {
        /// The number of successful probes so far.
        passed: u32,
    },
}

/// The recent failure ratio and latency of a target, with ejection and back-off.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    state: HealthState,
    failure_ratio: f64,
    latency_ms: f64,
    samples: u32,
    consecutive_ejections: u32,
    backoff_until: Option<Instant>,
    consecutive_backoffs: u32,
    draining_until: Option<Instant>,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failure_ratio: 0.0,
            latency_ms: 0.0,
            samples: 0,
            consecutive_ejections: 0,
            backoff_until: None,
            consecutive_backoffs: 0,
            draining_until: None,
        }
    }
}

impl TargetHealth {
    /// Records the result of an attempt.
    pub fn report(&mut self, outcome: AttemptOutcome, now: Instant) {
        match outcome {
            AttemptOutcome::Success { latency } => self.succeed(latency),
            AttemptOutcome::Failed => self.fail(now),
            AttemptOutcome::Full => self.back_off(now),
            AttemptOutcome::Draining => self.draining_until = Some(now + DRAINING_RETENTION),
        }
    }

    /// Returns the state; an ejection whose time is over becomes probing.
    pub fn state(&mut self, now: Instant) -> HealthState {
        if let HealthState::Ejected { until } = self.state
            && until <= now
        {
            self.state = HealthState::Probing { passed: 0 };
        }
        self.state
    }

    /// Returns how many of the front's `share` of slots may be in use now.
    pub fn concurrency_limit(&mut self, share: usize, now: Instant) -> usize {
        if self.is_draining(now) || self.backoff_until.is_some_and(|until| now < until) {
            return 0;
        }
        match self.state(now) {
            HealthState::Healthy => share,
            HealthState::Ejected { .. } => 0,
            HealthState::Probing { .. } => share.min(1),
        }
    }

    /// Returns whether the target recently reported that it is draining.
    pub fn is_draining(&self, now: Instant) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of the latency, or `None` before the first sample.
    pub fn latency_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency_ms)
    }

    /// Returns whether a healthy target fails too often or is much slower than its peers.
    pub fn should_eject(&self, peers_latency_ms: Option<f64>) -> bool {
        if self.state != HealthState::Healthy {
            return false;
        }
        let fails = self.samples >= FAILURE_SAMPLES_MIN && self.failure_ratio > FAILURE_RATIO_MAX;
        let is_slow = self.samples >= SLOW_SAMPLES_MIN
            && peers_latency_ms.is_some_and(|peers| self.latency_ms > LATENCY_RATIO_MAX * peers);
        fails || is_slow
    }

    /// Ejects the target for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Instant) {
        let doubled = EJECTION_MIN * (1 << self.consecutive_ejections.min(5));
        let jitter = 1.0 + 0.2 * rand::random::<f64>();
        let until = now + doubled.min(EJECTION_MAX).mul_f64(jitter);
        self.consecutive_ejections += 1;
        self.state = HealthState::Ejected { until };
    }

    fn succeed(&mut self, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1e3;
        self.backoff_until = None;
        self.consecutive_backoffs = 0;
        if let HealthState::Probing { passed } = self.state {
            self.state = HealthState::Probing { passed: passed + 1 };
            if passed + 1 >= RECOVERY_PROBES {
                self.recover();
            }
        }
        let weight = if self.samples == 0 { 1.0 } else { EWMA_WEIGHT };
        self.latency_ms += weight * (latency_ms - self.latency_ms);
        self.failure_ratio -= EWMA_WEIGHT * self.failure_ratio;
        self.samples += 1;
    }

    fn fail(&mut self, now: Instant) {
        self.failure_ratio += EWMA_WEIGHT * (1.0 - self.failure_ratio);
        self.samples += 1;
        if matches!(self.state, HealthState::Probing { .. }) {
            self.eject(now);
        }
    }

    fn recover(&mut self) {
        self.state = HealthState::Healthy;
        self.consecutive_ejections = 0;
        self.failure_ratio = 0.0;
        self.samples = 0;
    }

    fn back_off(&mut self, now: Instant) {
        let doubled = BACKOFF_MIN * (1 << self.consecutive_backoffs.min(8));
        self.consecutive_backoffs += 1;
        self.backoff_until = Some(now + doubled.min(BACKOFF_MAX));
    }
}
