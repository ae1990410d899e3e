use std::sync::Arc;
use std::time::Duration;

use dotterelhook_types::ids::Offset;

use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::Store;
use crate::platform::StoreError;

/// What a feed has read.
#[derive(Clone, Debug)]
pub enum FeedBatch {
    /// The newest record of every key; what it does not name is gone.
    Snapshot(Vec<KeyedRecord>),
    /// The records that followed, in the order of the log; an empty value drops its key.
    Changes(Vec<KeyedRecord>),
}

/// Follows one partition of a keyed topic, also across deleted records.
pub struct ChangeFeed {
    store: Arc<dyn Store>,
    partition: Partition,
    position: Option<Offset>,
}

impl ChangeFeed {
    /// Creates a feed that begins with a snapshot.
    pub fn new(store: Arc<dyn Store>, partition: Partition) -> Self {
        Self {
            store,
            partition,
            position: None,
        }
    }

    /// Reads on; waits up to `hold` for a change.
    ///
    /// # Errors
    /// The store can't be reached; the next call goes on where this one failed.
    pub async fn next(&mut self, hold: Duration) -> Result<FeedBatch, StoreError> {
        let Some(position) = self.position else {
            return self.snapshot().await;
        };
        match self.store.read(self.partition, position, hold).await {
            Ok(page) => {
                self.position = Some(page.next_offset);
                Ok(FeedBatch::Changes(page.records))
            }
            Err(StoreError::Expired) => self.snapshot().await,
            Err(error) => Err(error),
        }
    }

    /// Reads all pages; changes made meanwhile are read again afterwards.
    async fn snapshot(&mut self) -> Result<FeedBatch, StoreError> {
        let first = self.store.newest(self.partition, None).await?;
        let position = first.end_offset;
        let mut records = first.records;
        let mut has_more = first.has_more;
        while has_more {
            let after = records.last().map(|record| record.key.clone());
            let page = self.store.newest(self.partition, after.as_deref()).await?;
            has_more = page.has_more && !page.records.is_empty();
            records.extend(page.records);
        }
        self.position = Some(position);
        Ok(FeedBatch::Snapshot(records))
    }
}
