use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use spdlog::warn;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ConnectionMemory;
use super::MachineMemory;
use super::MemoryMetrics;
use super::MemoryShortage;
use super::Reservation;
use super::connection_phase::ConnectionPhase;
use super::progress::Progress;
use super::progress::STALL_TIMEOUT;

/// The part of the machine's memory that is for clients. The rest is for the program itself, for buffers
/// of the operating system and for what the allocator keeps.
const MEMORY_SHARE: u64 = 2;
/// The part of the account that only small reservations may use.
const SMALL_SHARE: usize = 4;
/// The largest small reservation: all copies of a request of ordinary size.
const SMALL_MAX_BYTES: usize = 64 << 10;
/// The part of the account that the connections of one listener may use. The rest is for their requests.
const LISTENER_SHARE: usize = 2;
/// The part of the account that accepted work may use.
const LASTING_SHARE: usize = 2;
/// The room of an open connection: the buffer of its head, its send buffer and its tasks.
const CONNECTION_BYTES: usize = 40 << 10;
/// The interval between two attempts to open a connection. Others become stalled meanwhile.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between two log lines about a shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The account of all bytes that a process holds for clients, at every stage: open connections, requests
/// that arrive, calls that wait, and accepted work.
///
/// When there is too little room, connections that make no progress are closed, those in the middle of an
/// exchange first. If that does not help, the newcomer is refused. A quarter of the room is for small
/// reservations only, so that large ones can't keep ordinary clients away.
#[derive(Debug)]
pub struct MemoryAccount {
    capacity_bytes: usize,
    metrics: MemoryMetrics,
    entries: Mutex<Entries>,
    released: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    used_bytes: usize,
    /// The bytes of accepted work, which stays until it ends.
    lasting_bytes: usize,
    connections: BTreeMap<u64, Connection>,
    /// The number of connections of each listener.
    listeners: BTreeMap<&'static str, usize>,
    next_id: u64,
    /// No connection can be stalled before this time.
    none_stalled_until: Option<Instant>,
    logged_at: Option<Instant>,
}

#[derive(Debug)]
struct Connection {
    listener: &'static str,
    phase: ConnectionPhase,
    progress: Progress,
    held_bytes: usize,
    evict: CancellationToken,
}

impl Connection {
    fn is_stalled(&self, now: Instant) -> bool {
        self.phase.waits_for_client() && self.progress.stalled_at() <= now
    }

    /// Sorts connections in the middle of an exchange first, and then by the time without progress.
    fn eviction_order(&self) -> (bool, Instant) {
        (!self.phase.is_exchange(), self.progress.stalled_at())
    }
}

impl Entries {
    /// Returns the earliest time at which any connection can be stalled, if none is now.
    fn next_stall(&self, now: Instant) -> Instant {
        let waiting = self.connections.values();
        let waiting = waiting.filter(|entry| entry.phase.waits_for_client());
        let next = waiting.map(|entry| entry.progress.stalled_at()).min();
        let latest = now + STALL_TIMEOUT;
        next.map_or(latest, |next| next.min(latest))
    }
}

impl MemoryAccount {
    /// Creates the account of a machine.
    pub fn new(memory: MachineMemory) -> Arc<Self> {
        Arc::new(Self {
            capacity_bytes: (memory.bytes() / MEMORY_SHARE) as usize,
            metrics: MemoryMetrics::default(),
            entries: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Returns the metrics of the account.
    pub fn metrics(&self) -> &MemoryMetrics {
        &self.metrics
    }

    /// Returns the largest size of all accepted work together.
    pub fn lasting_max_bytes(&self) -> usize {
        self.capacity_bytes / LASTING_SHARE
    }

    /// Replaces the size of a part of the accepted work.
    pub(super) fn change_lasting(&self, former_bytes: usize, bytes: usize) {
        let mut entries = self.lock();
        entries.used_bytes = entries.used_bytes - former_bytes + bytes;
        entries.lasting_bytes = entries.lasting_bytes - former_bytes + bytes;
        self.metrics.lasting_bytes.set(entries.lasting_bytes as i64);
        self.metrics.used_bytes.set(entries.used_bytes as i64);
        drop(entries);
        self.released.notify_waiters();
    }

    /// Adds a connection of a listener. Closes stalled connections if there is too little room, and waits.
    pub async fn open(self: &Arc<Self>, listener: &'static str) -> Arc<ConnectionMemory> {
        loop {
            let released = self.released.notified();
            if let Some(opened) = self.try_open(listener) {
                return opened;
            }
            if self.is_full(listener) {
                self.evict_one(listener);
            } else {
                self.evict_stalled(&mut self.lock(), CONNECTION_BYTES, 0, Instant::now());
            }
            // Connections may also become stalled.
            let _ = tokio::time::timeout(OPEN_RETRY_INTERVAL, released).await;
        }
    }

    /// Closes the connection of a listener that has made no progress for the longest time, if one is
    /// stalled.
    pub fn evict_one(&self, listener: &'static str) {
        let now = Instant::now();
        let mut entries = self.lock();
        let stalled = entries.connections.values_mut();
        let stalled = stalled.filter(|entry| entry.listener == listener && entry.is_stalled(now));
        if let Some(entry) = stalled.min_by_key(|entry| entry.eviction_order()) {
            self.evict(entry);
        }
    }

    /// Reserves bytes beside `held_bytes` of the same request, for the client of a connection or for another
    /// process. Closes stalled connections if there is too little room.
    ///
    /// # Errors
    /// Too few bytes are free, and too few are held by connections without progress.
    pub async fn reserve(
        self: &Arc<Self>,
        bytes: usize,
        held_bytes: usize,
        connection: Option<&Arc<ConnectionMemory>>,
    ) -> Result<Reservation, MemoryShortage> {
        loop {
            let released = self.released.notified();
            {
                let mut entries = self.lock();
                if self.take(&mut entries, bytes, held_bytes) {
                    let id = connection.map(|connection| connection.id());
                    let entry = id.and_then(|id| entries.connections.get_mut(&id));
                    if let Some(entry) = entry {
                        entry.held_bytes += bytes;
                    }
                    let connection = connection.cloned();
                    return Ok(Reservation::new(Arc::clone(self), bytes, connection));
                }
                if !self.evict_stalled(&mut entries, bytes, held_bytes, Instant::now()) {
                    return Err(self.refuse(&mut entries, bytes));
                }
            }
            let _ = tokio::time::timeout(STALL_TIMEOUT, released).await;
        }
    }

    pub(super) fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let mut entries = self.lock();
        entries.used_bytes -= bytes;
        self.metrics.used_bytes.set(entries.used_bytes as i64);
        drop(entries);
        self.released.notify_waiters();
    }

    pub(super) fn detach(&self, id: u64, bytes: usize) {
        if let Some(entry) = self.lock().connections.get_mut(&id) {
            entry.held_bytes -= bytes;
        }
    }

    pub(super) fn close(&self, id: u64) {
        let mut entries = self.lock();
        let Some(closed) = entries.connections.remove(&id) else {
            return;
        };
        if let Some(open) = entries.listeners.get_mut(closed.listener) {
            *open -= 1;
        }
        drop(entries);
        self.release(CONNECTION_BYTES);
    }

    pub(super) fn is_stalled(&self, id: u64, now: Instant) -> bool {
        let entries = self.lock();
        let entry = entries.connections.get(&id);
        entry.is_some_and(|entry| entry.phase.is_exchange() && entry.is_stalled(now))
    }

    pub(super) fn record_progress(&self, id: u64, bytes: usize, now: Instant) {
        if let Some(entry) = self.lock().connections.get_mut(&id) {
            entry.progress.record(bytes, now);
        }
    }

    /// Changes the phase of a connection if `is_left` holds for the current one.
    pub(super) fn change_phase(
        &self,
        id: u64,
        is_left: impl Fn(ConnectionPhase) -> bool,
        phase: ConnectionPhase,
        now: Instant,
    ) {
        if let Some(entry) = self.lock().connections.get_mut(&id)
            && entry.phase != phase
            && is_left(entry.phase)
        {
            entry.phase = phase;
            entry.progress = Progress::begin(now);
        }
    }

    fn try_open(self: &Arc<Self>, listener: &'static str) -> Option<Arc<ConnectionMemory>> {
        if self.is_full(listener) {
            return None;
        }
        let mut entries = self.lock();
        if !self.take(&mut entries, CONNECTION_BYTES, 0) {
            return None;
        }
        *entries.listeners.entry(listener).or_default() += 1;
        let id = entries.next_id;
        entries.next_id += 1;
        let evict = CancellationToken::new();
        let entry = Connection {
            listener,
            phase: ConnectionPhase::Idle,
            progress: Progress::begin(Instant::now()),
            held_bytes: CONNECTION_BYTES,
            evict: evict.clone(),
        };
        entries.connections.insert(id, entry);
        Some(Arc::new(ConnectionMemory::new(Arc::clone(self), id, evict)))
    }

    /// Returns whether the connections of a listener use their part of the account.
    fn is_full(&self, listener: &'static str) -> bool {
        let open = self.lock().listeners.get(listener).copied().unwrap_or(0);
        (open + 1) * CONNECTION_BYTES > self.capacity_bytes / LISTENER_SHARE
    }

    /// Takes bytes if they are free.
    fn take(&self, entries: &mut Entries, bytes: usize, held_bytes: usize) -> bool {
        if self.missing_bytes(entries, bytes, held_bytes) > 0 {
            return false;
        }
        entries.used_bytes += bytes;
        self.metrics.used_bytes.set(entries.used_bytes as i64);
        true
    }

    /// Returns how many bytes must be released before a reservation fits.
    fn missing_bytes(&self, entries: &Entries, bytes: usize, held_bytes: usize) -> usize {
        let capacity_bytes = match held_bytes + bytes > SMALL_MAX_BYTES {
            true => self.capacity_bytes - self.capacity_bytes / SMALL_SHARE,
            false => self.capacity_bytes,
        };
        (entries.used_bytes + bytes).saturating_sub(capacity_bytes)
    }

    /// Closes as many stalled connections as a reservation needs. Returns `false`, and closes none, if
    /// they hold too little.
    fn evict_stalled(
        &self,
        entries: &mut Entries,
        bytes: usize,
        held_bytes: usize,
        now: Instant,
    ) -> bool {
        let missing_bytes = self.missing_bytes(entries, bytes, held_bytes);
        let connections = entries.connections.values_mut();
        let leaving = connections.filter(|entry| entry.phase == ConnectionPhase::Evicted);
        let leaving_bytes: usize = leaving.map(|entry| entry.held_bytes).sum();
        let Some(missing_bytes) = missing_bytes
            .checked_sub(leaving_bytes)
            .filter(|missing_bytes| *missing_bytes > 0)
        else {
            return true;
        };
        if entries.none_stalled_until.is_some_and(|until| now < until) {
            return false;
        }
        let connections = entries.connections.values_mut();
        let mut stalled: Vec<_> = connections.filter(|entry| entry.is_stalled(now)).collect();
        let stalled_bytes: usize = stalled.iter().map(|entry| entry.held_bytes).sum();
        if stalled_bytes < missing_bytes {
            if stalled.is_empty() {
                entries.none_stalled_until = Some(entries.next_stall(now));
            }
            return false;
        }
        stalled.sort_by_key(|entry| entry.eviction_order());
        let mut freed_bytes = 0;
        for entry in stalled {
            if freed_bytes >= missing_bytes {
                break;
            }
            freed_bytes += entry.held_bytes;
            self.evict(entry);
        }
        true
    }

    fn evict(&self, entry: &mut Connection) {
        entry.phase = ConnectionPhase::Evicted;
        entry.evict.cancel();
        self.metrics.evictions.inc();
    }

    fn refuse(&self, entries: &mut Entries, bytes: usize) -> MemoryShortage {
        self.metrics.refusals.inc();
        let shortage = MemoryShortage {
            needed_bytes: bytes,
            used_bytes: entries.used_bytes,
            capacity_bytes: self.capacity_bytes,
        };
        let now = Instant::now();
        let is_due = |at| now.duration_since(at) >= LOG_INTERVAL;
        if entries.logged_at.is_none_or(is_due) {
            entries.logged_at = Some(now);
            warn!(
                "memory: {shortage}; {} refusals and {} closed connections so far",
                self.metrics.refusals.get(),
                self.metrics.evictions.get()
            );
        }
        shortage
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
