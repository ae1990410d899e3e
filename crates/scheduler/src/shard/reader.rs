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

const PAGE_RECORDS: usize = 2_000;
const PAGES_MAX: usize = 4;
const READ_HOLD: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What the reader hands over, in order.
pub(super) enum Feed {
    /// The state to go on from; what came before it has expired.
    Snapshot(Box<ShardState>),
    /// The next records; none means that the log answered and that nothing is missing.
    Page {
        /// When the log was asked, by the monotonic clock.
        asked_at_ms: u64,
        /// The records.
        page: LogPage,
    },
}

/// Follows one stream.
pub(super) struct Reader {
    pub(super) log: Arc<dyn Log>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) stream: Box<str>,
}

impl Reader {
    /// Starts reading from the newest snapshot on, or from the start without one.
    pub(super) fn spawn(self) -> (mpsc::Receiver<Feed>, JoinHandle<()>) {
        let (feeds, received) = mpsc::channel(PAGES_MAX);
        (received, tokio::spawn(self.run(feeds)))
    }

    async fn run(self, feeds: mpsc::Sender<Feed>) {
        let mut from = self.start(&feeds).await;
        let mut hold = Duration::ZERO;
        loop {
            let asked_at_ms = self.clock.monotonic_ms();
            let page = match self.log.read(&self.stream, from, PAGE_RECORDS, hold).await {
                Ok(page) => page,
                Err(error) => {
                    warn!("shard: can't read {}: {error}", self.stream);
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            hold = READ_HOLD;
            if page.first_offset > from {
                warn!(
                    "shard: records of {} before {} have expired",
                    self.stream, page.first_offset
                );
                from = self.skip_to_snapshot(from, page.first_offset, &feeds).await;
                hold = Duration::ZERO;
                continue;
            }
            from = page
                .records
                .last()
                .map_or(from, |record| record.offset.next());
            if feeds.send(Feed::Page { asked_at_ms, page }).await.is_err() {
                return;
            }
        }
    }

    async fn start(&self, feeds: &mpsc::Sender<Feed>) -> Offset {
        loop {
            match read_snapshot(&*self.log, &self.stream).await {
                Ok(Some(state)) => {
                    let from = state.next_offset();
                    let _ = feeds.send(Feed::Snapshot(Box::new(state))).await;
                    return from;
                }
                Ok(None) => return Offset(0),
                Err(error) => {
                    warn!(
                        "shard: can't read the snapshots of {}: {error}",
                        self.stream
                    );
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the offset of a snapshot that covers what expired, or the old one to try again.
    async fn skip_to_snapshot(
        &self,
        from: Offset,
        first_offset: Offset,
        feeds: &mpsc::Sender<Feed>,
    ) -> Offset {
        match read_snapshot(&*self.log, &self.stream).await {
            Ok(Some(state)) if state.next_offset() >= first_offset => {
                let next = state.next_offset();
                let _ = feeds.send(Feed::Snapshot(Box::new(state))).await;
                next
            }
            _ => {
                warn!(
                    "shard: no snapshot of {} covers the lost records",
                    self.stream
                );
                tokio::time::sleep(RETRY_PAUSE).await;
                from
            }
        }
    }
}
