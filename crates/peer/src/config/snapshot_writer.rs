use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::config::SNAPSHOT_STREAM;
use dotterelhook_state::config::split_snapshot;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use rand::RngExt;
use spdlog::info;
use spdlog::warn;

use super::ConfigStore;
use super::ConfigView;
use super::read_snapshot;
use super::snapshot_policy::NewestSnapshot;
use super::snapshot_policy::is_due;

const CHECK_INTERVAL: Duration = Duration::from_secs(5);
const WRITE_JITTER_MAX_MS: u64 = 10_000;
const PARTS_PER_APPEND: usize = 32;

/// The newest snapshot that this process has read from the log.
#[derive(Clone, Copy, Debug)]
struct ObservedSnapshot {
    next_offset: Offset,
    written_unix_ms: u64,
    observed_at_ms: u64,
}

/// Writes a snapshot of the configuration when one is due and no other daemon wrote it.
///
/// Every daemon runs a writer, so others take over from a failed one. Each writer waits a random
/// time and then checks again, so usually only one writes. Concurrent snapshots are harmless.
pub(super) struct SnapshotWriter<'a> {
    log: &'a dyn Log,
    store: &'a ConfigStore,
    clock: &'a dyn Clock,
    writer_id: Box<str>,
    observed: Mutex<Option<ObservedSnapshot>>,
}

impl<'a> SnapshotWriter<'a> {
    /// Creates a writer with a random writer id.
    pub(super) fn new(log: &'a dyn Log, store: &'a ConfigStore, clock: &'a dyn Clock) -> Self {
        Self {
            log,
            store,
            clock,
            writer_id: format!("snapshot-{:016x}", rand::random::<u64>()).into(),
            observed: Mutex::default(),
        }
    }

    /// Checks periodically whether a snapshot is due and writes it; never returns.
    pub(super) async fn run(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.is_due() {
                continue;
            }
            let jitter_ms = rand::rng().random_range(0..=WRITE_JITTER_MAX_MS);
            tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
            if let Err(error) = self.write_if_due().await {
                warn!("config: can't write a snapshot: {error}");
            }
        }
    }

    async fn write_if_due(&self) -> Result<(), CallError> {
        if let Some(newest) = read_snapshot(self.log, Offset(0)).await? {
            self.observe(newest.state.next_offset(), newest.written_unix_ms);
        }
        if !self.is_due() {
            return Ok(());
        }
        let state = self.store.current();
        self.append(&state).await?;
        self.store.metrics().count_snapshot();
        info!(
            "config: snapshot up to offset {} written",
            state.next_offset()
        );
        Ok(())
    }

    fn observe(&self, next_offset: Offset, written_unix_ms: u64) {
        let observed_at_ms = self.clock.monotonic_ms();
        let newest = ObservedSnapshot {
            next_offset,
            written_unix_ms,
            observed_at_ms,
        };
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |observed: ObservedSnapshot| {
            observed.next_offset == next_offset && observed.written_unix_ms == written_unix_ms
        };
        if !observed.is_some_and(is_same) {
            *observed = Some(newest);
        }
    }

    /// Returns the longer of the age by the writer's clock and the time since the first read here.
    fn age_ms(&self, observed: ObservedSnapshot) -> u64 {
        let written_age_ms = self
            .clock
            .unix_ms()
            .saturating_sub(observed.written_unix_ms);
        let observed_age_ms = self
            .clock
            .monotonic_ms()
            .saturating_sub(observed.observed_at_ms);
        written_age_ms.max(observed_age_ms)
    }

    fn is_due(&self) -> bool {
        let Some(bounds) = self.store.log_bounds() else {
            return false;
        };
        let observed = *self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = observed.map(|observed| NewestSnapshot {
            next_offset: observed.next_offset,
            age_ms: self.age_ms(observed),
        });
        is_due(self.store.current().next_offset(), newest, bounds)
    }

    async fn append(&self, state: &ConfigState) -> Result<(), CallError> {
        let parts = split_snapshot(state, &self.writer_id, self.clock.unix_ms());
        for chunk in parts.chunks(PARTS_PER_APPEND) {
            let payloads: Vec<Box<str>> = chunk
                .iter()
                .filter_map(|part| serde_json::to_string(part).ok())
                .map(Into::into)
                .collect();
            self.log.append(SNAPSHOT_STREAM, &payloads).await?;
        }
        Ok(())
    }
}
