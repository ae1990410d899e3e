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

/// How long a read waits for a change; bounds how long a silent connection goes unnoticed.
const HOLD: Duration = Duration::from_millis(3_000);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The owner of a cell as it made itself known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Its generation.
    pub epoch: Epoch,
    /// The process.
    pub member: MemberName,
}

/// The owners of all cells, as this process has read them.
pub struct OwnerDirectory {
    store: Arc<dyn Store>,
    owners: RwLock<BTreeMap<u32, OwnerRecord>>,
    doubted: Notify,
}

impl OwnerDirectory {
    /// Creates an empty directory.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            owners: RwLock::default(),
            doubted: Notify::new(),
        }
    }

    /// Returns the owner of a cell, if one has made itself known.
    pub fn owner(&self, cell: u32) -> Option<OwnerRecord> {
        let owners = self.owners.read().unwrap_or_else(PoisonError::into_inner);
        owners.get(&cell).cloned()
    }

    /// Lets the directory be read again soon, since an owner did not answer.
    pub fn request_refresh(&self) {
        self.doubted.notify_one();
    }

    /// Makes this process known as the owner of a cell.
    ///
    /// # Errors
    /// The store can't be reached.
    pub(super) async fn publish(&self, cell: u32, owner: &OwnerRecord) -> Result<(), StoreError> {
        let value = encode(owner).map_err(|error| StoreError::NotDone(error.to_string().into()))?;
        let record = KeyedRecord {
            key: cell.to_string().into(),
            value,
        };
        self.store.append(topics::owners(), &[record], None).await?;
        self.note(cell, owner.clone());
        Ok(())
    }

    /// Reads the owners once.
    ///
    /// # Errors
    /// The store can't be reached.
    pub(super) async fn refresh(&self) -> Result<(), StoreError> {
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owners());
        self.take(feed.next(Duration::ZERO).await?);
        Ok(())
    }

    /// Follows the owners for good.
    pub async fn run(&self) {
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owners());
        loop {
            let read = tokio::select! {
                read = feed.next(HOLD) => read,
                () = self.doubted.notified() => feed.next(Duration::ZERO).await,
            };
            match read {
                Ok(batch) => self.take(batch),
                // The store's health is logged where it is tracked.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn take(&self, batch: FeedBatch) {
        let (FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) = batch;
        for KeyedRecord { key, value } in records {
            match (key.parse(), decode_owner(&value)) {
                (Ok(cell), Ok(owner)) => self.note(cell, owner),
                (Err(_), _) => {
                    decided!(Decision::RecordUnreadable, key: key, cause: "not a cell's number");
                }
                (_, Err(cause)) => decided!(Decision::RecordUnreadable, key: key, cause: cause),
            }
        }
    }

    fn note(&self, cell: u32, owner: OwnerRecord) {
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
