use std::time::Duration;

use tokio::time::Instant;

const WEIGHT: f64 = 0.1;
const SAMPLES_MIN: u32 = 5;
const FAILURE_SHARE_MAX: f64 = 0.5;
/// A target this many times slower than its peers is ejected.
const SLOWNESS_MAX: f64 = 8.0;
const SLOW_SAMPLES_MIN: u32 = 50;
const EJECTION_MIN: Duration = Duration::from_secs(2);
const EJECTION_MAX: Duration = Duration::from_secs(60);
const PROBES_TO_RETURN: u32 = 3;
const PAUSE_MIN: Duration = Duration::from_millis(5);
const PAUSE_MAX: Duration = Duration::from_secs(1);
const DRAINING_KEPT: Duration = Duration::from_secs(60);

/// How one try at a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered without a server error.
    Good {
        /// The time from sending to the whole answer.
        latency: Duration,
    },
    /// It couldn't be reached, broke off, timed out or answered with a server error.
    Failed,
    /// It had no free slot.
    Full,
    /// It said that it is about to leave.
    Draining,
}

/// What a target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// All of the front's share.
    Healthy,
    /// Nothing until a time.
    Ejected {
        /// When probes begin.
        until: Instant,
    },
    /// One request at a time, to see whether it has recovered.
    Probing {
        /// Probes that went well.
        passed: u32,
    },
}

/// A target's recent successes and latency, and what follows from them.
#[derive(Clone, Debug)]
pub struct Health {
    state: HealthState,
    failure_share: f64,
    latency_ms: f64,
    samples: u32,
    ejections_in_a_row: u32,
    paused_until: Option<Instant>,
    pauses_in_a_row: u32,
    draining_until: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failure_share: 0.0,
            latency_ms: 0.0,
            samples: 0,
            ejections_in_a_row: 0,
            paused_until: None,
            pauses_in_a_row: 0,
            draining_until: None,
        }
    }
}

impl Health {
    /// Takes in how a try ended.
    pub fn report(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Good { latency } => self.succeed(latency),
            Outcome::Failed => self.fail(now),
            Outcome::Full => self.pause(now),
            Outcome::Draining => self.draining_until = Some(now + DRAINING_KEPT),
        }
    }

    /// Returns the state; an ejection that is over has become probing.
    pub fn state(&mut self, now: Instant) -> HealthState {
        if let HealthState::Ejected { until } = self.state
            && until <= now
        {
            self.state = HealthState::Probing { passed: 0 };
        }
        self.state
    }

    /// Returns how many requests the target may have at once, of a share.
    pub fn limit(&mut self, share: usize, now: Instant) -> usize {
        if self.is_draining(now) || self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        match self.state(now) {
            HealthState::Healthy => share,
            HealthState::Ejected { .. } => 0,
            HealthState::Probing { .. } => share.min(1),
        }
    }

    /// Returns whether the target said that it is about to leave.
    pub fn is_draining(&self, now: Instant) -> bool {
        self.draining_until.is_some_and(|until| now < until)
    }

    /// Returns the recent latency; none before the first good answer.
    pub fn latency_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.latency_ms)
    }

    /// Returns whether the target fails too often or is much slower than its peers.
    pub fn should_eject(&self, peers_latency_ms: Option<f64>) -> bool {
        if self.state != HealthState::Healthy {
            return false;
        }
        let fails = self.samples >= SAMPLES_MIN && self.failure_share > FAILURE_SHARE_MAX;
        let is_slow = self.samples >= SLOW_SAMPLES_MIN
            && peers_latency_ms.is_some_and(|peers| self.latency_ms > SLOWNESS_MAX * peers);
        fails || is_slow
    }

    /// Gives the target nothing for some time, longer with each ejection in a row.
    pub fn eject(&mut self, now: Instant) {
        let doubled = EJECTION_MIN * (1 << self.ejections_in_a_row.min(5));
        let jitter = 1.0 + 0.2 * rand::random::<f64>();
        let until = now + doubled.min(EJECTION_MAX).mul_f64(jitter);
        self.ejections_in_a_row += 1;
        self.state = HealthState::Ejected { until };
    }

    fn succeed(&mut self, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1e3;
        self.paused_until = None;
        self.pauses_in_a_row = 0;
        if let HealthState::Probing { passed } = self.state {
            self.state = HealthState::Probing { passed: passed + 1 };
            if passed + 1 >= PROBES_TO_RETURN {
                self.recover();
            }
        }
        let weight = if self.samples == 0 { 1.0 } else { WEIGHT };
        self.latency_ms += weight * (latency_ms - self.latency_ms);
        self.failure_share -= WEIGHT * self.failure_share;
        self.samples += 1;
    }

    fn fail(&mut self, now: Instant) {
        self.failure_share += WEIGHT * (1.0 - self.failure_share);
        self.samples += 1;
        if matches!(self.state, HealthState::Probing { .. }) {
            self.eject(now);
        }
    }

    fn recover(&mut self) {
        self.state = HealthState::Healthy;
        self.ejections_in_a_row = 0;
        self.failure_share = 0.0;
        self.samples = 0;
    }

    fn pause(&mut self, now: Instant) {
        let doubled = PAUSE_MIN * (1 << self.pauses_in_a_row.min(8));
        self.pauses_in_a_row += 1;
        self.paused_until = Some(now + doubled.min(PAUSE_MAX));
    }
}
