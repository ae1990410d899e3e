use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::LogPage;
use dotterelhook_kernel::Kernel;
use dotterelhook_kernel::Metrics;
use dotterelhook_kernel::Service;
use dotterelhook_kernel::names;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use rand::RngExt;
use spdlog::warn;

use super::ConfigStore;
use super::ConfigView;
use super::LogBounds;
use super::STORE_NAME;
use super::config_handler::CALL_NAME;
use super::config_handler::ConfigHandler;
use super::read_snapshot;
use super::snapshot_writer::SnapshotWriter;
use crate::rpc::PeerHandlers;

const PAGE_RECORDS: usize = 1_000;
/// How long a read at the end of the log waits for a new record.
const LONG_POLL: Duration = Duration::from_secs(5);
const RETRY_MIN_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 750;

/// Follows the `config` stream, provides the configuration in force and writes its snapshots.
#[derive(Debug, Default)]
pub struct ConfigFollower;

#[async_trait]
impl Service for ConfigFollower {
    fn name(&self) -> &'static str {
        names::CONFIG
    }

    async fn start(self: Box<Self>, kernel: &Kernel) -> eyre::Result<()> {
        let registry = kernel.registry();
        let log = registry.find::<dyn Log>(names::LOG)?;
        let clock = registry.find::<dyn Clock>(names::CLOCK)?;
        let metrics = registry.find::<Metrics>(names::METRICS).ok();
        let store = Arc::new(ConfigStore::new(Arc::clone(&clock), metrics.as_deref()));
        registry.provide::<dyn ConfigView>(names::CONFIG, store.clone());
        registry.provide::<ConfigStore>(STORE_NAME, Arc::clone(&store));
        if let Ok(handlers) = registry.find::<PeerHandlers>(names::PEER_HANDLERS) {
            handlers.add(CALL_NAME, Arc::new(ConfigHandler::new(Arc::clone(&store))));
        }
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            let snapshot_writer = SnapshotWriter::new(&*log, &store, &*clock);
            tokio::select! {
                () = stopping.cancelled() => {}
                () = follow(&*log, &store) => {}
                () = snapshot_writer.run() => {}
            }
        });
        Ok(())
    }
}

async fn follow(log: &dyn Log, store: &ConfigStore) {
    loop {
        let from = store.current().next_offset();
        let result = if from == Offset(0) {
            load_initial(log, store).await
        } else {
            read_tail(log, store, from, LONG_POLL).await
        };
        if let Err(error) = result {
            warn!("config: can't read the log: {error}");
            store.record_log_failure(error.cause);
            if from > Offset(0) {
                // The newest configuration so far, from any source, is better than none.
                store.mark_loaded();
            }
            back_off().await;
        }
    }
}

/// Loads the newest snapshot, or the first records if there is no snapshot.
async fn load_initial(log: &dyn Log, store: &ConfigStore) -> Result<(), CallError> {
    match read_snapshot(log, Offset(0)).await? {
        Some(snapshot) => {
            store.adopt(snapshot.state, "a snapshot");
            Ok(())
        }
        None => read_tail(log, store, Offset(0), LONG_POLL).await,
    }
}

async fn read_tail(
    log: &dyn Log,
    store: &ConfigStore,
    from: Offset,
    wait: Duration,
) -> Result<(), CallError> {
    let wait = if store.is_loaded() {
        wait
    } else {
        Duration::ZERO
    };
    let sent_at_ms = store.now_ms();
    let page = log.read(CONFIG_STREAM, from, PAGE_RECORDS, wait).await?;
    store.record_log_contact(LogBounds {
        first_offset: page.first_offset,
        end_offset: page.end_offset,
    });
    if has_gap(&page, from) {
        return recover_from_gap(log, store, from, &page).await;
    }
    if page.end_offset < from {
        let end = page.end_offset;
        warn!("config: the log ends at {end}, but {from} is in force; keeping the newer state");
        back_off().await;
    }
    store.apply(&page);
    let next_offset = store.current().next_offset();
    if next_offset >= page.end_offset {
        store.mark_loaded();
    }
    // A log that ends before the records in force shows nothing about the newest records.
    if next_offset == page.end_offset {
        store.record_complete_read(sent_at_ms);
    }
    Ok(())
}

/// Returns whether records from `from` on have expired before they were read.
fn has_gap(page: &LogPage, from: Offset) -> bool {
    let start = page.records.first().map(|record| record.offset);
    start.unwrap_or(page.first_offset) > from
}

/// Adopts a snapshot that covers the expired records.
///
/// Without such a snapshot the configuration stays as it is. A configuration that skipped records
/// would lack their changes.
async fn recover_from_gap(
    log: &dyn Log,
    store: &ConfigStore,
    from: Offset,
    page: &LogPage,
) -> Result<(), CallError> {
    let first = page.first_offset;
    if let Some(snapshot) = read_snapshot(log, first).await?
        && snapshot.state.next_offset() >= first
    {
        store.adopt(snapshot.state, "a snapshot");
        return Ok(());
    }
    let cause = format!("records {from} to {first} have expired and no snapshot covers them");
    warn!("config: {cause}");
    store.record_log_failure(cause);
    back_off().await;
    Ok(())
}

async fn back_off() {
    let backoff_ms = rand::rng().random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
    tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
}
