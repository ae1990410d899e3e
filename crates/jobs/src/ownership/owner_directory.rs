use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::ids::Epoch;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::MemberName;
use super::topics;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::Store;
use crate::platform::StoreError;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// The long-poll time of a read; bounds how long a dead connection goes unnoticed.
const READ_HOLD: Duration = Duration::from_millis(3_000);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The stored record by which an owner publishes that it owns a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The epoch of the owner; a later owner of the cell has a larger one.
    pub epoch: Epoch,
    /// The process that owns the cell.
    pub member: MemberName,
}

/// A local copy of the owners of all cells, read from the store. The copy may be stale.
pub struct OwnerDirectory {
    store: Arc<dyn Store>,
    owners: RwLock<BTreeMap<u32, OwnerRecord>>,
    refresh_requested: Notify,
}

impl OwnerDirectory {
    /// Creates an empty directory. [`Self::run`] fills it.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            owners: RwLock::default(),
            refresh_requested: Notify::new(),
        }
    }

    /// Returns the last published owner of a cell, if any.
    pub fn owner(&self, cell: u32) -> Option<OwnerRecord> {
        let owners = self.owners.read().unwrap_or_else(PoisonError::into_inner);
        owners.get(&cell).cloned()
    }

    /// Requests an immediate read, for example because an owner did not answer.
    pub fn request_refresh(&self) {
        self.refresh_requested.notify_one();
    }

    /// Publishes this process as the owner of a cell.
    ///
    /// # Errors
    /// The store is unreachable.
    pub(super) async fn publish(&self, cell: u32, owner: &OwnerRecord) -> Result<(), StoreError> {
        let value = encode(owner).map_err(|error| StoreError::NotDone(error.to_string().into()))?;
        let record = KeyedRecord {
            key: cell.to_string().into(),
            value,
        };
        self.store
            .append(topics::owner_partition(), &[record], None)
            .await?;
        self.record(cell, owner.clone());
        Ok(())
    }

    /// Reads all owners once.
    ///
    /// # Errors
    /// The store is unreachable.
    pub(super) async fn refresh(&self) -> Result<(), StoreError> {
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owner_partition());
        self.apply(feed.next(Duration::ZERO).await?);
        Ok(())
    }

    /// Follows the topic of owners; never returns.
    pub async fn run(&self) {
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owner_partition());
        loop {
            let read = tokio::select! {
                read = feed.next(READ_HOLD) => read,
                () = self.refresh_requested.notified() => feed.next(Duration::ZERO).await,
            };
            match read {
                Ok(batch) => self.apply(batch),
                // `TrackedStore` logs failed calls.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn apply(&self, batch: FeedBatch) {
        let (FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) = batch;
        for KeyedRecord { key, value } in records {
            match (key.parse(), decode_owner(&value)) {
                (Ok(cell), Ok(owner)) => self.record(cell, owner),
                (Err(_), _) => {
                    decided!(Decision::RecordUnreadable, key: key, cause: "not a cell number");
                }
                (_, Err(cause)) => decided!(Decision::RecordUnreadable, key: key, cause: cause),
            }
        }
    }

    /// Records an owner unless one with the same or a later epoch is known.
    fn record(&self, cell: u32, owner: OwnerRecord) {
        let mut owners = self.owners.write().unwrap_or_else(PoisonError::into_inner);
        let known = owners.get(&cell);
        if known.is_none_or(|known| known.epoch < owner.epoch) {
            decided!(Decision::OwnerChanged, cell: cell, epoch: owner.epoch, owner: owner.member);
            owners.insert(cell, owner);
        }
    }
}

fn decode_owner(value: &Bytes) -> Result<OwnerRecord, Box<str>> {
    decode(value).map_err(|error| error.to_string().into())
}
