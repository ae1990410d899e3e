use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::ActiveConfig;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::Platform;
use crate::platform::Store;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// How long a read waits for a change; bounds how long a silent connection goes unnoticed.
const HOLD: Duration = Duration::from_millis(1_000);
/// The pause after a failed read, well below the time in which a change must be in force.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Puts each version of the configuration in force as soon as it is written.
pub struct ConfigFollower {
    platform: Arc<dyn Platform>,
    store: Arc<dyn Store>,
    board: Arc<ActiveConfig>,
}

impl ConfigFollower {
    /// Creates a follower; nothing is read yet.
    pub fn new(
        platform: Arc<dyn Platform>,
        store: Arc<dyn Store>,
        board: Arc<ActiveConfig>,
    ) -> Self {
        Self {
            platform,
            store,
            board,
        }
    }

    /// Follows the operators' records for good.
    pub async fn run(self) {
        let partition = self.platform.operator_partition();
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), partition);
        loop {
            match feed.next(HOLD).await {
                Ok(FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) => {
                    for record in &records {
                        self.take(record);
                    }
                }
                // The store's health is logged where it is tracked.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn take(&self, record: &KeyedRecord) {
        match self.platform.decode_config(record) {
            Ok(Some(config)) => {
                let version = config.version();
                if self.board.activate_if_newer(config) {
                    decided!(Decision::ConfigInForce, version: version);
                }
            }
            Ok(None) => {}
            Err(error) => {
                decided!(Decision::ConfigUnreadable, key: record.key, cause: error);
            }
        }
    }
}
