use std::time::Duration;

use tokio::time::Instant;

/// How long new load rises on the executors of a failure domain after its evacuation has ended.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// The shares of the capacity that new load may reserve while at least the given time is left.
const LOAD_STEPS: [(Duration, f64); 2] = [
    (Duration::from_secs(4), 0.25),
    (Duration::from_secs(2), 0.5),
];
/// The share of the capacity that new load may reserve in the last step.
const LAST_STEP_SHARE: f64 = 0.75;
/// The longest time for which an executor counts as cold, whatever its entry says.
const COLD_MAX: Duration = Duration::from_secs(600);
/// The weight of the latest sample in the moving average of the slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.3;
/// Bounds the slowdown: a larger one is a fault of the executor or of the estimate.
const SLOWDOWN_MAX: f64 = 4.0;

/// The ramp-up of an executor that is cold after its start, or whose failure domain was evacuated.
#[derive(Clone, Debug)]
pub struct RampUp {
    began_at: Option<Instant>,
    cold_until: Option<Instant>,
    returning_until: Option<Instant>,
    /// The runs placed on the whole pool before the executor was first seen cold.
    pool_starts_before: u64,
    /// The runs placed on the executor since then.
    starts: u64,
    slowdown: f64,
}

impl Default for RampUp {
    fn default() -> Self {
        Self {
            began_at: None,
            cold_until: None,
            returning_until: None,
            pool_starts_before: 0,
            starts: 0,
            slowdown: 1.0,
        }
    }
}

impl RampUp {
    /// Applies the time for which the executor says that it is cold. `is_new` tells whether its entry
    /// is the first one of an incarnation; later entries never extend the time.
    pub fn update_cold(&mut self, left: Duration, is_new: bool, pool_starts: u64, now: Instant) {
        let until = now + left.min(COLD_MAX);
        let known = self.cold_until.filter(|_| !is_new);
        if left.is_zero() {
            self.cold_until = None;
        } else if let Some(known) = known {
            self.cold_until = Some(known.min(until));
        } else if is_new {
            *self = Self {
                began_at: Some(now),
                cold_until: Some(until),
                returning_until: self.returning_until,
                pool_starts_before: pool_starts,
                ..Self::default()
            };
        }
    }

    /// Begins the return after an evacuation.
    pub fn begin_return(&mut self, now: Instant) {
        self.began_at = Some(now);
        self.returning_until = Some(now + RETURN_TIME);
    }

    /// Returns whether the executor is slow because it has started recently.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the share of the capacity that load placed since [`Self::began_at`] may reserve, or
    /// `None` without a limit.
    pub fn new_load_share(&self, now: Instant) -> Option<f64> {
        let until = self.cold_until.max(self.returning_until)?;
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            return None;
        }
        let step = LOAD_STEPS.iter().find(|(from, _)| left >= *from);
        Some(step.map_or(LAST_STEP_SHARE, |(_, share)| *share))
    }

    /// Returns when the ramp-up began, if there was one.
    pub fn began_at(&self) -> Option<Instant> {
        self.began_at
    }

    /// Counts a run that was placed on the executor.
    pub fn record_start(&mut self) {
        self.starts += 1;
    }

    /// Returns the runs that a cold executor got since it was first seen, and the runs that its whole
    /// pool got.
    pub fn starts(&self, pool_starts: u64) -> (u64, u64) {
        (
            self.starts,
            pool_starts.saturating_sub(self.pool_starts_before),
        )
    }

    /// Records how much longer than estimated a cold executor took for some work.
    pub fn record_slowdown(&mut self, sample: f64) {
        let sample = sample.clamp(1.0, SLOWDOWN_MAX);
        self.slowdown += SLOWDOWN_SMOOTHING * (sample - self.slowdown);
    }

    /// Returns how much longer than estimated runs take here now; 1 for an executor that isn't cold.
    pub fn slowdown(&self, now: Instant) -> f64 {
        match self.is_cold(now) {
            true => self.slowdown,
            false => 1.0,
        }
    }
}
