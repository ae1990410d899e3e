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

use super::Connection;
use super::Health;
use super::HealthState;
use super::Lease;
use super::Outcome;
use super::Queue;
use super::lease::ConnectionPlace;

/// An idle connection older than this is closed, before the target closes it.
const IDLE_MAX: Duration = Duration::from_secs(4);

/// The connections to one target and this front's share of its slots.
#[derive(Debug)]
pub struct TargetPool {
    entry: TargetEntry,
    queue: Arc<Queue>,
    connections_max: usize,
    share: AtomicUsize,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    idle: Mutex<Vec<(Connection, Instant)>>,
    health: Mutex<Health>,
}

impl TargetPool {
    /// Creates a pool without connections.
    pub fn new(entry: TargetEntry, queue: Arc<Queue>, fronts_max: usize) -> Self {
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

    /// Returns the target as the platform lists it.
    pub fn entry(&self) -> &TargetEntry {
        &self.entry
    }

    /// Sets the front's share of the target's slots.
    pub fn set_share(&self, share: usize) {
        self.share.store(share, Ordering::Release);
    }

    /// Returns the number of this front's requests at the target.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns the number of this front's connections to the target.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns how many requests the front may have at the target now.
    pub fn limit(&self) -> usize {
        let share = self.share.load(Ordering::Acquire);
        let share = share.min(self.connections_max);
        self.health().limit(share, Instant::now())
    }

    /// Returns the recent latency; none before the first good answer.
    pub fn latency_ms(&self) -> Option<f64> {
        self.health().latency_ms()
    }

    /// Returns what the target may be given.
    pub fn state(&self) -> HealthState {
        self.health().state(Instant::now())
    }

    /// Returns whether the target said that it is about to leave.
    pub fn is_draining(&self) -> bool {
        self.health().is_draining(Instant::now())
    }

    /// Takes a slot, unless all are taken.
    pub fn try_lease(self: &Arc<Self>) -> Option<Lease> {
        let limit = self.limit();
        let add = |taken| (taken < limit).then_some(taken + 1);
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(Lease {
            pool: Arc::clone(self),
        })
    }

    /// Takes in how a try ended; a target that fails or lags is ejected, if few are.
    pub(super) fn report(&self, outcome: Outcome) {
        let now = Instant::now();
        let mut health = self.health();
        let was_ejected = health.state(now) != HealthState::Healthy;
        health.report(outcome, now);
        let is_ejected = health.state(now) != HealthState::Healthy;
        if was_ejected && !is_ejected {
            self.queue.leave_ejected();
        }
        if health.should_eject(self.queue.latency_ms()) && self.queue.try_enter_ejected() {
            health.eject(now);
            drop(health);
            self.close_idle();
        }
    }

    pub(super) fn try_connection(self: &Arc<Self>) -> Option<ConnectionPlace> {
        let add = |open| (open < self.connections_max).then_some(open + 1);
        self.connections
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()?;
        Some(ConnectionPlace {
            pool: Arc::clone(self),
        })
    }

    pub(super) fn free_connection(&self) {
        self.connections.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn free_slot(&self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.queue.wake_one();
    }

    pub(super) fn take_idle(&self) -> Option<Connection> {
        self.close_old_idle();
        let mut idle = self.idle();
        let ready = idle
            .iter()
            .rposition(|(connection, _)| SendRequest::is_ready(connection))?;
        Some(idle.swap_remove(ready).0)
    }

    /// Keeps a connection for later; it is ready only after its answer has ended.
    pub(super) fn keep(&self, connection: Connection) {
        if !connection.is_closed() {
            self.idle().push((connection, Instant::now()));
        }
    }

    /// Closes connections that no request has used for long; answers still on their way stay.
    pub fn close_old_idle(&self) {
        let now = Instant::now();
        self.idle().retain(|(connection, since)| {
            let is_old = connection.is_ready() && now.duration_since(*since) >= IDLE_MAX;
            !connection.is_closed() && !is_old
        });
    }

    fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for TargetPool {
    fn drop(&mut self) {
        if self.state() != HealthState::Healthy {
            self.queue.leave_ejected();
        }
    }
}
