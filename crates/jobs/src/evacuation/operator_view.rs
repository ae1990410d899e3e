use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::Evacuations;
use super::ViewSnapshot;

/// The share of the time in which an evacuation must take effect for which a view may be used. The
/// rest is left for orders that are under way.
const AGE_MAX_SHARE: f64 = 0.5;
/// The share of the greatest age of the view that a read may wait for records. A view in use is as
/// old as two reads and their latencies.
const READ_HOLD_SHARE: f64 = 0.2;
/// The longest wait of a read for records; bounds how long a dead connection goes unnoticed.
const READ_HOLD_MAX: Duration = Duration::from_millis(1_000);

/// What this process has read of the operators' requests, and how old that knowledge is.
#[derive(Debug)]
pub struct OperatorView {
    age_max: Option<Duration>,
    evacuations: watch::Sender<Arc<Evacuations>>,
    /// The send time of the last read that reached the end of the log, since boot.
    confirmed_at: Mutex<Option<Duration>>,
}

impl OperatorView {
    /// Creates a view without any knowledge. `evacuate_max` is the time after which nothing may start
    /// in an evacuated failure domain; without it, the age of the view isn't limited.
    pub fn new(evacuate_max: Option<Duration>) -> Self {
        Self {
            age_max: evacuate_max.map(|limit| limit.mul_f64(AGE_MAX_SHARE)),
            evacuations: watch::Sender::default(),
            confirmed_at: Mutex::default(),
        }
    }

    /// Returns how long a read of the operators' records may wait for the next one.
    pub fn read_hold(&self) -> Duration {
        let share = self.age_max.map(|age| age.mul_f64(READ_HOLD_SHARE));
        share.map_or(READ_HOLD_MAX, |hold| hold.min(READ_HOLD_MAX))
    }

    /// Replaces the evacuations in force.
    pub fn replace(&self, evacuations: Evacuations) {
        self.evacuations.send_if_modified(|current| {
            let is_changed = **current != evacuations;
            if is_changed {
                *current = Arc::new(evacuations);
            }
            is_changed
        });
    }

    /// Records that the view contains all records that were stored at `sent_at`, since boot. The
    /// evacuations of the read must have been applied before.
    pub fn confirm(&self, sent_at: Duration) {
        let mut confirmed_at = self.confirmed_at();
        *confirmed_at = (*confirmed_at).max(Some(sent_at));
    }

    /// Returns the evacuations in force.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        Arc::clone(&self.evacuations.borrow())
    }

    /// Returns a receiver that is notified of each change of the evacuations in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Evacuations>> {
        self.evacuations.subscribe()
    }

    /// Returns the age of the view at a time since boot, or `None` before the first complete read.
    pub fn age(&self, now_since_boot: Duration) -> Option<Duration> {
        let confirmed_at = *self.confirmed_at();
        confirmed_at.map(|at| now_since_boot.saturating_sub(at))
    }

    /// Returns the view at the present, given as `now` and as the time since boot.
    pub fn snapshot(&self, now: Instant, now_since_boot: Duration) -> ViewSnapshot {
        // The age is read first: evacuations that are read later are at least as new.
        let valid_until = self.age_max.map(|age_max| {
            let remaining = self
                .age(now_since_boot)
                .and_then(|age| age_max.checked_sub(age));
            now + remaining.unwrap_or_default()
        });
        ViewSnapshot {
            evacuations: self.evacuations(),
            valid_until,
        }
    }

    fn confirmed_at(&self) -> std::sync::MutexGuard<'_, Option<Duration>> {
        self.confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
