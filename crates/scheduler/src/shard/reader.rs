use std::sync::Arc;
use std::time::Duration;

use dotterelhook_platform::log::Log;
use dotterelhook_platform::log::LogPage;
use dotterelhook_types::ids::Offset;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const PAGE_RECORDS: usize = 2_000;
const PAGES_MAX: usize = 4;
const READ_HOLD: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads a stream from its start and hands over the pages in order.
///
/// A page without records says that the log answered and that nothing is missing.
pub(super) fn spawn_reader(
    log: Arc<dyn Log>,
    stream: Box<str>,
) -> (mpsc::Receiver<LogPage>, JoinHandle<()>) {
    let (pages, received) = mpsc::channel(PAGES_MAX);
    let task = tokio::spawn(async move {
        let mut from = Offset(0);
        let mut hold = Duration::ZERO;
        loop {
            match log.read(&stream, from, PAGE_RECORDS, hold).await {
                Ok(page) => {
                    hold = READ_HOLD;
                    from = page
                        .records
                        .last()
                        .map_or(from, |record| record.offset.next());
                    if pages.send(page).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    warn!("shard: can't read {stream}: {error}");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    });
    (received, task)
}
