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

/// The long-poll time of a read; bounds how long a dead connection goes unnoticed.
const READ_HOLD: Duration = Duration::from_millis(1_000);
/// The pause after a failed read, well below the deadline for activating a new configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Activates each version of the configuration as soon as an operator publishes it.
pub struct ConfigFollower {
    platform: Arc<dyn Platform>,
    store: Arc<dyn Store>,
    active: Arc<ActiveConfig>,
}

impl ConfigFollower {
    /// Creates a follower. Reading starts with [`Self::run`].
    pub fn new(
        platform: Arc<dyn Platform>,
        store: Arc<dyn Store>,
        active: Arc<ActiveConfig>,
    ) -> Self {
        Self {
            platform,
            store,
            active,
        }
    }

    /// Follows the operators' partition; never returns.
    pub async fn run(self) {
        let partition = self.platform.operator_partition();
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), partition);
        loop {
            match feed.next(READ_HOLD).await {
                Ok(FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) => {
                    for record in &records {
                        self.apply(record);
                    }
                }
                // `TrackedStore` logs failed calls.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn apply(&self, record: &KeyedRecord) {
        match self.platform.decode_config(record) {
            Ok(Some(config)) => {
                let version = config.version();
                if self.active.activate_if_newer(config) {
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
