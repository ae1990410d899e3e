use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::SlotPermit;
use crate::request::Cause;
use crate::request::RequestError;

const WAITING_MAX: usize = 1_024;
/// The end of an ejection or back-off frees slots without a wake-up, so waiters poll as well.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
const EJECTED_MAX_PERCENT: usize = 30;

/// The requests of one service that wait for a slot, with figures about its targets.
#[derive(Debug, Default)]
pub struct SlotQueue {
    waiting: AtomicUsize,
    slot_released: Notify,
    targets: AtomicUsize,
    ejected: AtomicUsize,
    latency_us: AtomicU64,
}

/// Bounds on the wait of one request, and the capacity that serves the queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// The longest time that the request may spend in the queue.
    pub wait_max: Duration,
    /// The time by which the caller must have an answer.
    pub deadline: Instant,
    /// The front's slots at all targets of the service together.
    pub slots: usize,
}

/// Counts one waiting request until dropped.
struct QueuePlace<'a> {
    queue: &'a SlotQueue,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

impl SlotQueue {
    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Waits for a slot; refuses at once if the expected wait exceeds the limits.
    ///
    /// # Errors
    /// The queue is too long, or no slot became free in time. The request did not run.
    pub async fn wait_for_slot(
        &self,
        limits: WaitLimits,
        try_acquire_slot: impl Fn() -> Option<SlotPermit>,
    ) -> Result<SlotPermit, RequestError> {
        let _place = self.enqueue(limits)?;
        let wait_end = limits.deadline.min(Instant::now() + limits.wait_max);
        loop {
            if let Some(slot) = try_acquire_slot() {
                return Ok(slot);
            }
            if Instant::now() >= wait_end {
                let detail = "no slot became free in time";
                return Err(RequestError::not_run(Cause::QueueTimeout, detail));
            }
            let recheck = wait_end.min(Instant::now() + RECHECK_INTERVAL);
            let _ = timeout_at(recheck, self.slot_released.notified()).await;
        }
    }

    fn enqueue(&self, limits: WaitLimits) -> Result<QueuePlace<'_>, RequestError> {
        let waiting = self.waiting.fetch_add(1, Ordering::AcqRel);
        let place = QueuePlace { queue: self };
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Acquire));
        let ahead = (waiting + 1) as f64 / limits.slots.max(1) as f64;
        let expected_wait = latency.mul_f64(ahead);
        let exceeds_deadline = Instant::now() + expected_wait + latency > limits.deadline;
        if waiting >= WAITING_MAX || expected_wait > limits.wait_max || exceeds_deadline {
            let detail = "the queue is longer than can be served in time";
            return Err(RequestError::not_run(Cause::QueueFull, detail));
        }
        Ok(place)
    }

    /// Wakes one waiting request, if any.
    pub(super) fn wake_one(&self) {
        if self.waiting() > 0 {
            self.slot_released.notify_one();
        }
    }

    /// Sets the number of targets and their median latency.
    pub(super) fn update_targets(&self, targets: usize, latency_ms: Option<f64>) {
        self.targets.store(targets, Ordering::Release);
        let latency_us = (latency_ms.unwrap_or(0.0) * 1e3) as u64;
        self.latency_us.store(latency_us, Ordering::Release);
    }

    /// Returns the median latency of the service's targets, or `None` before the first sample.
    pub(super) fn latency_ms(&self) -> Option<f64> {
        match self.latency_us.load(Ordering::Acquire) {
            0 => None,
            latency_us => Some(latency_us as f64 / 1e3),
        }
    }

    /// Counts one more ejected target, unless the quota is reached.
    pub(super) fn try_begin_ejection(&self) -> bool {
        let limit = ejected_max(self.targets.load(Ordering::Acquire));
        let add = |ejected| (ejected < limit).then_some(ejected + 1);
        self.ejected
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .is_ok()
    }

    pub(super) fn end_ejection(&self) {
        self.ejected.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns how many targets of a service may be ejected at once; a lone target never is.
fn ejected_max(targets: usize) -> usize {
    match targets {
        0 | 1 => 0,
        _ => (targets * EJECTED_MAX_PERCENT / 100).max(1),
    }
}
