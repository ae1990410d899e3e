use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::LogPage;
use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::Offset;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::snapshots::read_snapshot;

const RECORDS_PER_PAGE_MAX: usize = 2_000;
const UPDATE_QUEUE_MAX: usize = 4;
const LONG_POLL_HOLD: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An update of a shard's state; updates arrive in stream order.
pub(super) enum StreamUpdate {
    /// The state to continue from, which replaces the records before it.
    Snapshot(Box<ShardState>),
    /// The next records; an empty page shows that the log answered and that none are missing.
    Page {
        /// When the read was sent, in milliseconds of the monotonic clock.
        requested_at_ms: u64,
        /// The records and the end of the stream.
        page: LogPage,
    },
}

/// Follows a shard's stream by long polling.
pub(super) struct StreamReader {
    pub(super) log: Arc<dyn Log>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) stream: Box<str>,
}

impl StreamReader {
    /// Spawns the reader; it starts at the newest snapshot, or at offset 0 if there is none.
    pub(super) fn spawn(self) -> (mpsc::Receiver<StreamUpdate>, JoinHandle<()>) {
        let (updates, received) = mpsc::channel(UPDATE_QUEUE_MAX);
        (received, tokio::spawn(self.run(updates)))
    }

    async fn run(self, updates: mpsc::Sender<StreamUpdate>) {
        let mut from = self.start(&updates).await;
        let mut hold = Duration::ZERO;
        loop {
            let requested_at_ms = self.clock.monotonic_ms();
            let page = match self
                .log
                .read(&self.stream, from, RECORDS_PER_PAGE_MAX, hold)
                .await
            {
                Ok(page) => page,
                Err(error) => {
                    warn!("shard: read of {} failed: {error}", self.stream);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            hold = LONG_POLL_HOLD;
            if page.first_offset > from {
                warn!(
                    "shard: records of {} before offset {} have expired; loading a snapshot",
                    self.stream, page.first_offset
                );
                from = self
                    .skip_to_snapshot(from, page.first_offset, &updates)
                    .await;
                hold = Duration::ZERO;
                continue;
            }
            from = page
                .records
                .last()
                .map_or(from, |record| record.offset.next());
            if updates
                .send(StreamUpdate::Page {
                    requested_at_ms,
                    page,
                })
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn start(&self, updates: &mpsc::Sender<StreamUpdate>) -> Offset {
        loop {
            match read_snapshot(&*self.log, &self.stream).await {
                Ok(Some(state)) => {
                    let from = state.next_offset();
                    let _ = updates.send(StreamUpdate::Snapshot(Box::new(state))).await;
                    return from;
                }
                Ok(None) => return Offset(0),
                Err(error) => {
                    warn!(
                        "shard: read of snapshots of {} failed: {error}",
                        self.stream
                    );
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Returns the offset after a snapshot that covers the expired records.
    ///
    /// Returns `from` for a retry if there is no such snapshot.
    async fn skip_to_snapshot(
        &self,
        from: Offset,
        first_offset: Offset,
        updates: &mpsc::Sender<StreamUpdate>,
    ) -> Offset {
        match read_snapshot(&*self.log, &self.stream).await {
            Ok(Some(state)) if state.next_offset() >= first_offset => {
                let next = state.next_offset();
                let _ = updates.send(StreamUpdate::Snapshot(Box::new(state))).await;
                next
            }
            _ => {
                warn!(
                    "shard: no snapshot of {} covers the expired records; retrying",
                    self.stream
                );
                tokio::time::sleep(RETRY_INTERVAL).await;
                from
            }
        }
    }
}
