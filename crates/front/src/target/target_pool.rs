use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dotterelhook_borders::hosts::TargetEntry;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use super::AttemptOutcome;
use super::Connection;
use super::HealthState;
use super::SlotPermit;
use super::SlotQueue;
use super::TargetHealth;
use super::slot_permit::ConnectionPermit;

/// Idle connections are closed after this time, before the target closes them.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// One target: its connections, its health and this front's share of its slots.
#[derive(Debug)]
pub struct TargetPool {
    entry: TargetEntry,
    queue: Arc<SlotQueue>,
    connections_max: usize,
    share: AtomicUsize,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    idle: Mutex<Vec<(Connection, Instant)>>,
    health: Mutex<TargetHealth>,
}

impl TargetPool {
    /// Creates a pool without connections; `fronts_max` fronts divide the target's connections.
    pub fn new(entry: TargetEntry, queue: Arc<SlotQueue>, fronts_max: usize) -> Self {
        let connections_max = (entry.connections_max as usize / fronts_max.max(1)).max(1);
        Self {
            entry,
            queue,
            connections_max,
            share: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            idle: Mutex::default(),
            health: Mutex::default(),
        }
    }

    /// Returns the target's entry in the host list.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Sets the front's share of the target's slots.
    pub fn set_share(&self, share: usize) {
        self.share.store(share, Ordering::Release);
    }

    /// Returns the number of slots that this front's requests occupy.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the number of this front's open connections to the target.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns how many requests the front may have in flight at the target now.
    pub fn concurrency_limit(&self) -> usize {
        let share = self.share.load(Ordering::Acquire);
        let share = share.min(self.connections_max);
        self.lock_health().concurrency_limit(share, Instant::now())
    }

    /// Returns the moving average of the latency, or `None` before the first sample.
    pub fn latency_ms(&self) -> Option<f64> {
        self.lock_health().latency_ms()
    }

    /// Returns the state of the target's circuit breaker.
    pub fn state(&self) -> HealthState {
        self.lock_health().state(Instant::now())
    }

    /// Returns whether the target recently reported that it is draining.
    pub fn is_draining(&self) -> bool {
        self.lock_health().is_draining(Instant::now())
    }

    /// Acquires a slot, or returns `None` at the concurrency limit.
    pub fn try_acquire_slot(self: &Arc<Self>) -> Option<SlotPermit> {
        let limit = self.concurrency_limit();
        let add = |in_flight| (in_flight < limit).then_some(in_flight + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(SlotPermit {
            pool: Arc::clone(self),
        })
    }

    /// Records the result of an attempt; ejects an unhealthy target if the quota allows it.
    pub(super) fn report(&self, outcome: AttemptOutcome) {
        let now = Instant::now();
        let mut health = self.lock_health();
        let was_ejected = health.state(now) != HealthState::Healthy;
        health.report(outcome, now);
        let is_ejected = health.state(now) != HealthState::Healthy;
        if was_ejected && !is_ejected {
            self.queue.end_ejection();
        }
        if health.should_eject(self.queue.latency_ms()) && self.queue.try_begin_ejection() {
            health.eject(now);
            drop(health);
            self.close_all_idle();
        }
    }

    pub(super) fn try_acquire_connection(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let add = |open| (open < self.connections_max).then_some(open + 1);
        self.connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(ConnectionPermit {
            pool: Arc::clone(self),
        })
    }

    pub(super) fn release_connection(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn release_slot(&self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.queue.wake_one();
    }

    pub(super) fn take_idle_connection(&self) -> Option<Connection> {
        self.close_expired_idle();
        let mut idle = self.lock_idle();
        let ready = idle
            .iter()
            .rposition(|(connection, _)| SendRequest::is_ready(connection))?;
        Some(idle.swap_remove(ready).0)
    }

    /// Returns a connection to the pool; the connection is ready again once its answer has ended.
    pub(super) fn return_connection(&self, connection: Connection) {
        if !connection.is_closed() {
            self.lock_idle().push((connection, Instant::now()));
        }
    }

    /// Closes connections that have been idle too long; connections in use stay open.
    pub fn close_expired_idle(&self) {
        let now = Instant::now();
        self.lock_idle().retain(|(connection, since)| {
            let is_expired = connection.is_ready() && now.duration_since(*since) >= IDLE_MAX;
            !connection.is_closed() && !is_expired
        });
    }

    fn close_all_idle(&self) {
        self.lock_idle().clear();
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_health(&self) -> MutexGuard<'_, TargetHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TargetPool {
    fn drop(&mut self) {
        if self.state() != HealthState::Healthy {
            self.queue.end_ejection();
        }
    }
}
