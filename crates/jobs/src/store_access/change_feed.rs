use std::sync::Arc;
use std::time::Duration;

use dotterelhook_types::ids::Offset;

use super::time_since_boot;
use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::Store;
use crate::platform::StoreError;

/// The records that one read of a [`ChangeFeed`] returned.
#[derive(Clone, Debug)]
pub enum FeedBatch {
    /// The latest record of every key. Keys without a record have been deleted.
    Snapshot(Vec<KeyedRecord>),
    /// The records since the last batch, in log order. An empty value deletes its key.
    Changes(Vec<KeyedRecord>),
}

/// Follows one partition of a keyed topic: a snapshot first, then the changes. If the store has
/// deleted records that the feed has not read, the feed takes another snapshot.
///
/// Answers that show an older state of the log than an earlier one are rejected.
pub struct ChangeFeed {
    store: Arc<dyn Store>,
    partition: Partition,
    next_offset: Option<Offset>,
    confirmed_at: Option<Duration>,
}

impl ChangeFeed {
    /// Creates a feed whose first batch is a snapshot.
    pub fn new(store: Arc<dyn Store>, partition: Partition) -> Self {
        Self {
            store,
            partition,
            next_offset: None,
            confirmed_at: None,
        }
    }

    /// Returns the send time, since boot, of the last read that reached the end of the log: all
    /// records that were stored then have been returned.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Returns the next batch. Without new records, the call waits up to `hold` and then returns an
    /// empty batch.
    ///
    /// # Errors
    /// The read failed. The next call resumes at the same offset.
    pub async fn next(&mut self, hold: Duration) -> Result<FeedBatch, StoreError> {
        let Some(from) = self.next_offset else {
            return self.read_snapshot().await;
        };
        let sent_at = time_since_boot();
        match self.store.read(self.partition, from, hold).await {
            Ok(page) if page.end_offset < from => Err(older_state(page.end_offset, from)),
            Ok(page) => {
                if page.records.is_empty() || page.next_offset >= page.end_offset {
                    self.confirmed_at = Some(sent_at);
                }
                self.next_offset = Some(page.next_offset);
                Ok(FeedBatch::Changes(page.records))
            }
            Err(StoreError::Expired) => self.read_snapshot().await,
            Err(error) => Err(error),
        }
    }

    /// Reads all pages of a snapshot. A snapshot that is older than what was read is an error: it would
    /// bring back what has been deleted since. The feed continues at the end offset of the first page, so
    /// that changes made between two pages are read as well.
    async fn read_snapshot(&mut self) -> Result<FeedBatch, StoreError> {
        let sent_at = time_since_boot();
        let first = self.store.newest(self.partition, None).await?;
        let next_offset = first.end_offset;
        if let Some(read_up_to) = self.next_offset.filter(|known| next_offset < *known) {
            return Err(older_state(next_offset, read_up_to));
        }
        let mut records = first.records;
        let mut has_more = first.has_more;
        while has_more {
            let after = records.last().map(|record| record.key.clone());
            let page = self.store.newest(self.partition, after.as_deref()).await?;
            if page.end_offset < next_offset {
                // The page may lack records that the feed wouldn't read as changes either.
                return Err(older_state(page.end_offset, next_offset));
            }
            has_more = page.has_more && !page.records.is_empty();
            records.extend(page.records);
        }
        self.next_offset = Some(next_offset);
        self.confirmed_at = Some(sent_at);
        Ok(FeedBatch::Snapshot(records))
    }
}

fn older_state(end: Offset, known: Offset) -> StoreError {
    let cause = format!("the answer shows the log up to {end}, but {known} has been reached");
    StoreError::NotDone(cause.into())
}
