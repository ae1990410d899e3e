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
use super::snapshot_policy::SnapshotAge;
use super::snapshot_policy::is_due;

const CHECK_INTERVAL: Duration = Duration::from_secs(5);
const TAKEOVER_MAX_MS: u64 = 10_000;
const APPEND_PARTS: usize = 32;

/// The newest snapshot that this process knows of.
#[derive(Clone, Copy, Debug)]
struct Seen {
    next_offset: Offset,
    written_unix_ms: u64,
    seen_at_ms: u64,
}

/// Writes snapshots of the configuration whenever no other daemon has.
///
/// Every daemon runs one. Each waits a random time before it writes and then looks again, so
/// that usually one writes; two at once are harmless, and one that dies is replaced.
pub(super) struct SnapshotKeeper<'a> {
    log: &'a dyn Log,
    store: &'a ConfigStore,
    clock: &'a dyn Clock,
    writer: Box<str>,
    seen: Mutex<Option<Seen>>,
}

impl<'a> SnapshotKeeper<'a> {
    /// Creates a keeper with a writer's id of its own.
    pub(super) fn new(log: &'a dyn Log, store: &'a ConfigStore, clock: &'a dyn Clock) -> Self {
        Self {
            log,
            store,
            clock,
            writer: format!("snapshot-{:016x}", rand::random::<u64>()).into(),
            seen: Mutex::default(),
        }
    }

    /// Looks again and again whether a snapshot is due, and writes it.
    pub(super) async fn run(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.is_due() {
                continue;
            }
            let wait_ms = rand::rng().random_range(0..=TAKEOVER_MAX_MS);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if let Err(error) = self.write_if_due().await {
                warn!("config: no snapshot was written: {error}");
            }
        }
    }

    async fn write_if_due(&self) -> Result<(), CallError> {
        if let Some(newest) = read_snapshot(self.log, Offset(0)).await? {
            self.see(newest.state.next_offset(), newest.written_unix_ms);
        }
        if !self.is_due() {
            return Ok(());
        }
        let state = self.store.current();
        self.append(&state).await?;
        self.store.metrics().count_snapshot();
        info!("config: snapshot at {} written", state.next_offset());
        Ok(())
    }

    fn see(&self, next_offset: Offset, written_unix_ms: u64) {
        let seen_at_ms = self.clock.monotonic_ms();
        let newest = Seen {
            next_offset,
            written_unix_ms,
            seen_at_ms,
        };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same =
            |seen: Seen| seen.next_offset == next_offset && seen.written_unix_ms == written_unix_ms;
        if !seen.is_some_and(is_same) {
            *seen = Some(newest);
        }
    }

    /// Returns the age of a snapshot: by the writer's clock or since it was seen here, the longer.
    fn age_ms(&self, seen: Seen) -> u64 {
        let by_writer_ms = self.clock.unix_ms().saturating_sub(seen.written_unix_ms);
        let seen_for_ms = self.clock.monotonic_ms().saturating_sub(seen.seen_at_ms);
        by_writer_ms.max(seen_for_ms)
    }

    fn is_due(&self) -> bool {
        let Some(bounds) = self.store.bounds() else {
            return false;
        };
        let seen = *self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = seen.map(|seen| SnapshotAge {
            next_offset: seen.next_offset,
            age_ms: self.age_ms(seen),
        });
        is_due(self.store.current().next_offset(), newest, bounds)
    }

    async fn append(&self, state: &ConfigState) -> Result<(), CallError> {
        let parts = split_snapshot(state, &self.writer, self.clock.unix_ms());
        for group in parts.chunks(APPEND_PARTS) {
            let payloads: Vec<Box<str>> = group
                .iter()
                .filter_map(|part| serde_json::to_string(part).ok())
                .map(Into::into)
                .collect();
            self.log.append(SNAPSHOT_STREAM, &payloads).await?;
        }
        Ok(())
    }
}
