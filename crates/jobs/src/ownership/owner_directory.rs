use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Sequence;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::MemberName;
use super::topics;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::Fence;
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
    /// Requests an immediate read, for each cell.
    refresh_requested: Vec<Notify>,
}

impl OwnerDirectory {
    /// Creates an empty directory of the cells from 0 to `cell_count`. [`Self::run`] fills it.
    pub fn new(store: Arc<dyn Store>, cell_count: u32) -> Self {
        Self {
            store,
            owners: RwLock::default(),
            refresh_requested: (0..cell_count).map(|_| Notify::new()).collect(),
        }
    }

    /// Returns the last published owner of a cell, if any.
    pub fn owner(&self, cell: u32) -> Option<OwnerRecord> {
        let owners = self.owners.read().unwrap_or_else(PoisonError::into_inner);
        owners.get(&cell).cloned()
    }

    /// Requests an immediate read, for example because an owner did not answer.
    pub fn request_refresh(&self) {
        self.refresh_requested.iter().for_each(Notify::notify_one);
    }

    /// Publishes a process as the owner of a cell.
    ///
    /// # Errors
    /// The store is unreachable, or a later owner has published itself.
    pub async fn publish(&self, cell: u32, owner: &OwnerRecord) -> Result<(), StoreError> {
        let value = encode(owner).map_err(|error| StoreError::NotDone(error.to_string().into()))?;
        let record = KeyedRecord {
            key: cell.to_string().into(),
            value,
        };
        let fence = Fence {
            epoch: owner.epoch,
            sequence: Sequence(0),
        };
        self.store
            .append(topics::owner_partition(cell), &[record], Some(fence))
            .await?;
        self.record(cell, owner.clone());
        Ok(())
    }

    /// Reads all owners once.
    ///
    /// # Errors
    /// The store is unreachable.
    pub async fn refresh(&self) -> Result<(), StoreError> {
        for cell in self.cells() {
            let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owner_partition(cell));
            self.apply(feed.next(Duration::ZERO).await?);
        }
        Ok(())
    }

    /// Follows the owners of all cells; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut feeds = JoinSet::new();
        for cell in self.cells() {
            feeds.spawn(Arc::clone(&self).follow(cell));
        }
        while feeds.join_next().await.is_some() {}
    }

    fn cells(&self) -> std::ops::Range<u32> {
        0..self.refresh_requested.len() as u32
    }

    async fn follow(self: Arc<Self>, cell: u32) {
        let mut feed = ChangeFeed::new(Arc::clone(&self.store), topics::owner_partition(cell));
        let refresh_requested = &self.refresh_requested[cell as usize];
        loop {
            let read = tokio::select! {
                read = feed.next(READ_HOLD) => read,
                () = refresh_requested.notified() => feed.next(Duration::ZERO).await,
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
