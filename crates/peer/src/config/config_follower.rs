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
use super::STORE;
use super::config_call::ConfigCall;
use super::config_call::HANDLER;
use super::read_snapshot;
use super::snapshot_keeper::SnapshotKeeper;
use crate::rpc::PeerHandlers;

const PAGE_RECORDS: usize = 1_000;
const READ_HOLD: Duration = Duration::from_secs(5);
const RETRY_MIN_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 750;

/// Follows the `config` stream, provides the configuration in force and keeps its snapshots.
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
        registry.provide::<ConfigStore>(STORE, Arc::clone(&store));
        if let Ok(handlers) = registry.find::<PeerHandlers>(names::PEER_HANDLERS) {
            handlers.add(HANDLER, Arc::new(ConfigCall::new(Arc::clone(&store))));
        }
        let stopping = kernel.stopping();
        kernel.spawn(async move {
            let keeper = SnapshotKeeper::new(&*log, &store, &*clock);
            tokio::select! {
                () = stopping.cancelled() => {}
                () = follow(&*log, &store) => {}
                () = keeper.run() => {}
            }
        });
        Ok(())
    }
}

async fn follow(log: &dyn Log, store: &ConfigStore) {
    loop {
        let from = store.current().next_offset();
        let result = if from == Offset(0) {
            start(log, store).await
        } else {
            read_tail(log, store, from, READ_HOLD).await
        };
        if let Err(error) = result {
            warn!("config: can't read the log: {error}");
            store.note_log_failure(error.cause);
            if from > Offset(0) {
                // The newest configuration that any source gave is better than none.
                store.mark_loaded();
            }
            pause().await;
        }
    }
}

/// Starts from the newest snapshot if there is one, else from the first record.
async fn start(log: &dyn Log, store: &ConfigStore) -> Result<(), CallError> {
    match read_snapshot(log, Offset(0)).await? {
        Some(snapshot) => {
            store.adopt(snapshot.state, "a snapshot");
            Ok(())
        }
        None => read_tail(log, store, Offset(0), READ_HOLD).await,
    }
}

async fn read_tail(
    log: &dyn Log,
    store: &ConfigStore,
    from: Offset,
    hold: Duration,
) -> Result<(), CallError> {
    let hold = if store.is_loaded() {
        hold
    } else {
        Duration::ZERO
    };
    let page = log.read(CONFIG_STREAM, from, PAGE_RECORDS, hold).await?;
    store.note_log_contact(LogBounds {
        first_offset: page.first_offset,
        end_offset: page.end_offset,
    });
    if has_gap(&page, from) {
        return recover(log, store, from, &page).await;
    }
    if page.end_offset < from {
        let end = page.end_offset;
        warn!("config: the log ends at {end}, but {from} is in force; kept");
        pause().await;
    }
    store.apply(&page);
    if store.current().next_offset() >= page.end_offset {
        store.mark_loaded();
    }
    Ok(())
}

/// Returns whether records at and after `from` have expired unread.
fn has_gap(page: &LogPage, from: Offset) -> bool {
    let start = page.records.first().map(|record| record.offset);
    start.unwrap_or(page.first_offset) > from
}

/// Takes a snapshot that covers the expired records; without one, nothing is skipped.
async fn recover(
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
    store.note_log_failure(cause);
    pause().await;
    Ok(())
}

async fn pause() {
    let pause_ms = rand::rng().random_range(RETRY_MIN_MS..=RETRY_MAX_MS);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
