use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::Lease;
use crate::request::Cause;
use crate::request::RequestError;

const WAITING_MAX: usize = 1_024;
/// Slots also become free as time passes, which wakes nobody.
const RECHECK: Duration = Duration::from_millis(10);
const EJECTED_MAX_PERCENT: usize = 30;

/// The requests of one service that wait for a slot, and what its targets share.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: AtomicUsize,
    woken: Notify,
    targets: AtomicUsize,
    ejected: AtomicUsize,
    latency_us: AtomicU64,
}

/// How long a request may wait, and what it waits for.
#[derive(Clone, Copy, Debug)]
pub struct QueueTerms {
    /// The longest wait.
    pub wait_max: Duration,
    /// When the caller must have its answer.
    pub deadline: Instant,
    /// The slots that the front has at all targets of the service.
    pub slots: usize,
}

/// A place in the queue.
struct Place<'a> {
    queue: &'a Queue,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Queue {
    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Waits for a slot, unless that would take too long.
    ///
    /// # Errors
    /// The queue is too long, or no slot became free in time; nothing ran.
    pub async fn wait(
        &self,
        terms: QueueTerms,
        try_lease: impl Fn() -> Option<Lease>,
    ) -> Result<Lease, RequestError> {
        let _place = self.enter(terms)?;
        let limit = terms.deadline.min(Instant::now() + terms.wait_max);
        loop {
            if let Some(lease) = try_lease() {
                return Ok(lease);
            }
            if Instant::now() >= limit {
                let detail = "no slot became free in time";
                return Err(RequestError::not_run(Cause::QueueTimeout, detail));
            }
            let recheck = limit.min(Instant::now() + RECHECK);
            let _ = timeout_at(recheck, self.woken.notified()).await;
        }
    }

    fn enter(&self, terms: QueueTerms) -> Result<Place<'_>, RequestError> {
        let waiting = self.waiting.fetch_add(1, Ordering::AcqRel);
        let place = Place { queue: self };
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Acquire));
        let ahead = (waiting + 1) as f64 / terms.slots.max(1) as f64;
        let expected = latency.mul_f64(ahead);
        let is_late = Instant::now() + expected + latency > terms.deadline;
        if waiting >= WAITING_MAX || expected > terms.wait_max || is_late {
            let detail = "the queue is longer than can be served in time";
            return Err(RequestError::not_run(Cause::QueueFull, detail));
        }
        Ok(place)
    }

    /// Wakes the request that has waited longest.
    pub(super) fn wake_one(&self) {
        if self.waiting() > 0 {
            self.woken.notify_one();
        }
    }

    /// Takes in the number of targets and their usual latency.
    pub(super) fn set_targets(&self, targets: usize, latency_ms: Option<f64>) {
        self.targets.store(targets, Ordering::Release);
        let latency_us = (latency_ms.unwrap_or(0.0) * 1e3) as u64;
        self.latency_us.store(latency_us, Ordering::Release);
    }

    /// Returns the usual latency of the service's targets, once known.
    pub(super) fn latency_ms(&self) -> Option<f64> {
        match self.latency_us.load(Ordering::Acquire) {
            0 => None,
            latency_us => Some(latency_us as f64 / 1e3),
        }
    }

    /// Counts one more ejected target, unless too many are.
    pub(super) fn try_enter_ejected(&self) -> bool {
        let limit = ejected_max(self.targets.load(Ordering::Acquire));
        let add = |ejected| (ejected < limit).then_some(ejected + 1);
        self.ejected
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok()
    }

    pub(super) fn leave_ejected(&self) {
        self.ejected.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns how many of a number of targets may be ejected at once.
fn ejected_max(targets: usize) -> usize {
    match targets {
        0 | 1 => 0,
        _ => (targets * EJECTED_MAX_PERCENT / 100).max(1),
    }
}
