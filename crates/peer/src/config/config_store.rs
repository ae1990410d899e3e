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

/// The range of offsets that the log retained of the `config` stream at the last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogBounds {
    /// The oldest retained offset.
    pub(super) first_offset: Offset,
    /// The offset that the next record will have.
    pub(super) end_offset: Offset,
}

/// The last failure of each source, for the readiness report.
#[derive(Debug)]
struct LastFailures {
    log: Box<str>,
    peers: Box<str>,
}

/// The configuration in force in this process; its offset never decreases.
pub(super) struct ConfigStore {
    state: ArcSwap<ConfigState>,
    update_lock: Mutex<()>,
    clock: Arc<dyn Clock>,
    is_loaded: AtomicBool,
    log_contact_at_ms: AtomicU64,
    complete_read_at_ms: AtomicU64,
    log_bounds: Mutex<Option<LogBounds>>,
    last_failures: Mutex<LastFailures>,
    metrics: ConfigMetrics,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    pub(super) fn new(clock: Arc<dyn Clock>, metrics: Option<&Metrics>) -> Self {
        Self {
            state: ArcSwap::default(),
            update_lock: Mutex::default(),
            clock,
            is_loaded: AtomicBool::new(false),
            log_contact_at_ms: AtomicU64::new(NEVER),
            complete_read_at_ms: AtomicU64::new(NEVER),
            log_bounds: Mutex::default(),
            last_failures: Mutex::new(LastFailures {
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

    /// Records the time and the bounds of a successful read of the log.
    pub(super) fn record_log_contact(&self, log_bounds: LogBounds) {
        let now_ms = self.clock.monotonic_ms();
        self.log_contact_at_ms.store(now_ms, Ordering::Release);
        *lock(&self.log_bounds) = Some(log_bounds);
    }

    /// Returns the monotonic time in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }

    /// Records when a read was sent that reached the end of the log; call after its records have been
    /// applied.
    pub(super) fn record_complete_read(&self, sent_at_ms: u64) {
        self.complete_read_at_ms
            .store(sent_at_ms, Ordering::Release);
    }

    /// Returns the bounds of the last successful read of the log, if any.
    pub(super) fn log_bounds(&self) -> Option<LogBounds> {
        *lock(&self.log_bounds)
    }

    /// Records why the log delivered no configuration.
    pub(super) fn record_log_failure(&self, cause: impl Into<Box<str>>) {
        lock(&self.last_failures).log = cause.into();
    }

    /// Records why a peer delivered no configuration.
    pub(super) fn record_peer_failure(&self, cause: impl Into<Box<str>>) {
        lock(&self.last_failures).peers = cause.into();
    }

    /// Marks the configuration as loaded, so that readers may use it from now on.
    pub(super) fn mark_loaded(&self) {
        self.is_loaded.store(true, Ordering::Release);
    }

    /// Puts a complete configuration in force if it is newer; returns whether it is.
    pub(super) fn adopt(&self, state: ConfigState, source: &str) -> bool {
        let _guard = lock(&self.update_lock);
        let own_offset = self.state.load().next_offset();
        if state.next_offset() <= own_offset {
            return false;
        }
        info!(
            "config: in force up to offset {}, from {source}",
            state.next_offset()
        );
        self.publish(state);
        true
    }

    /// Applies a page of records in order; records already applied change nothing.
    ///
    /// A record that can't be applied is logged and counted.
    pub(super) fn apply(&self, page: &LogPage) {
        let _guard = lock(&self.update_lock);
        let mut state = ConfigState::clone(&self.state.load());
        let own_offset = state.next_offset();
        for record in &page.records {
            if let Err(refusal) = state.apply(record.offset, &record.payload) {
                warn!("config: record {} refused: {refusal}", record.offset);
                self.metrics.count_refusal();
            }
        }
        if state.next_offset() > own_offset {
            info!("config: in force up to offset {}", state.next_offset());
            self.publish(state);
        }
    }

    fn age_ms(&self, at_ms: &AtomicU64) -> Option<u64> {
        match at_ms.load(Ordering::Acquire) {
            NEVER => None,
            at_ms => Some(self.now_ms().saturating_sub(at_ms)),
        }
    }

    fn publish(&self, state: ConfigState) {
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
        self.age_ms(&self.log_contact_at_ms)
    }

    fn complete_read_age_ms(&self) -> Option<u64> {
        self.age_ms(&self.complete_read_at_ms)
    }

    fn unready_reason(&self) -> Option<Box<str>> {
        if self.is_loaded() {
            return None;
        }
        let last_failures = lock(&self.last_failures);
        let (log, peers) = (&last_failures.log, &last_failures.peers);
        Some(format!("no configuration is known; log: {log}; peers: {peers}").into())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
