use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::LogPage;
use dotterelhook_kernel::Metrics;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::ids::Offset;
use spdlog::info;
use spdlog::warn;

use super::ConfigMetrics;
use super::ConfigView;

const NEVER: u64 = u64::MAX;

/// What the log kept of the `config` stream when it was last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogBounds {
    /// The oldest offset that is kept.
    pub(super) first_offset: Offset,
    /// The offset of the next record.
    pub(super) end_offset: Offset,
}

/// Why no configuration is known, by source.
#[derive(Debug)]
struct Causes {
    log: Box<str>,
    peers: Box<str>,
}

/// The configuration in force in this process; it never goes back.
pub(super) struct ConfigStore {
    state: ArcSwap<ConfigState>,
    updates: Mutex<()>,
    clock: Arc<dyn Clock>,
    is_loaded: AtomicBool,
    log_contact_at_ms: AtomicU64,
    bounds: Mutex<Option<LogBounds>>,
    causes: Mutex<Causes>,
    metrics: ConfigMetrics,
}

impl ConfigStore {
    /// Creates a store that knows nothing.
    pub(super) fn new(clock: Arc<dyn Clock>, metrics: Option<&Metrics>) -> Self {
        Self {
            state: ArcSwap::default(),
            updates: Mutex::default(),
            clock,
            is_loaded: AtomicBool::new(false),
            log_contact_at_ms: AtomicU64::new(NEVER),
            bounds: Mutex::default(),
            causes: Mutex::new(Causes {
                log: "not read yet".into(),
                peers: "not asked yet".into(),
            }),
            metrics: ConfigMetrics::new(metrics),
        }
    }

    /// Returns the metrics of the configuration.
    pub(super) fn metrics(&self) -> &ConfigMetrics {
        &self.metrics
    }

    /// Notes that the log has answered.
    pub(super) fn note_log_contact(&self, bounds: LogBounds) {
        let now_ms = self.clock.monotonic_ms();
        self.log_contact_at_ms.store(now_ms, Ordering::Release);
        *lock(&self.bounds) = Some(bounds);
    }

    /// Returns what the log kept when it was last read.
    pub(super) fn bounds(&self) -> Option<LogBounds> {
        *lock(&self.bounds)
    }

    /// Notes why the log gave no configuration.
    pub(super) fn note_log_failure(&self, cause: impl Into<Box<str>>) {
        lock(&self.causes).log = cause.into();
    }

    /// Notes why no peer gave a configuration.
    pub(super) fn note_peer_failure(&self, cause: impl Into<Box<str>>) {
        lock(&self.causes).peers = cause.into();
    }

    /// Lets others use the configuration from now on.
    pub(super) fn mark_loaded(&self) {
        self.is_loaded.store(true, Ordering::Release);
    }

    /// Puts a whole configuration in force if it is newer; returns whether it was.
    pub(super) fn adopt(&self, state: ConfigState, source: &str) -> bool {
        let _updating = lock(&self.updates);
        let own_offset = self.state.load().next_offset();
        if state.next_offset() <= own_offset {
            return false;
        }
        info!("config: {} in force, from {source}", state.next_offset());
        self.put(state);
        true
    }

    /// Applies records in order; those already applied change nothing.
    pub(super) fn apply(&self, page: &LogPage) {
        let _updating = lock(&self.updates);
        let mut state = ConfigState::clone(&self.state.load());
        let own_offset = state.next_offset();
        for record in &page.records {
            if let Err(refusal) = state.apply(record.offset, &record.payload) {
                warn!("config: record {} refused: {refusal}", record.offset);
                self.metrics.count_refusal();
            }
        }
        if state.next_offset() > own_offset {
            info!("config: {} in force", state.next_offset());
            self.put(state);
        }
    }

    fn put(&self, state: ConfigState) {
        self.metrics.set_next_offset(state.next_offset());
        self.state.store(Arc::new(state));
    }
}

impl ConfigView for ConfigStore {
    fn current(&self) -> Arc<ConfigState> {
        self.state.load_full()
    }

    fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire)
    }

    fn log_contact_age_ms(&self) -> Option<u64> {
        match self.log_contact_at_ms.load(Ordering::Acquire) {
            NEVER => None,
            at_ms => Some(self.clock.monotonic_ms().saturating_sub(at_ms)),
        }
    }

    fn unready_reason(&self) -> Option<Box<str>> {
        if self.is_loaded() {
            return None;
        }
        let causes = lock(&self.causes);
        let (log, peers) = (&causes.log, &causes.peers);
        Some(format!("no configuration is known; log: {log}; peers: {peers}").into())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
