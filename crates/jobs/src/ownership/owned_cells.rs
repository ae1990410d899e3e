use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::CellOwner;

/// The cells that this process owns.
#[derive(Default)]
pub struct OwnedCells {
    owned: RwLock<BTreeMap<u32, Arc<CellOwner>>>,
    /// Cells that this process is about to own.
    claimed: Mutex<BTreeSet<u32>>,
}

/// Marks a cell as being claimed until it is dropped.
pub(super) struct ClaimMark {
    board: Arc<OwnedCells>,
    cell: u32,
}

impl Drop for ClaimMark {
    fn drop(&mut self) {
        self.board.claimed().remove(&self.cell);
    }
}

impl OwnedCells {
    /// Returns the owner of a cell, if it is in this process.
    pub fn find(&self, cell: u32) -> Option<Arc<CellOwner>> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        owned.get(&cell).filter(|owner| owner.is_active()).cloned()
    }

    /// Returns all owned cells.
    pub fn all(&self) -> Vec<Arc<CellOwner>> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        owned.values().cloned().collect()
    }

    /// Marks a cell as being claimed, unless it is already.
    pub(super) fn begin_claim(self: &Arc<Self>, cell: u32) -> Option<ClaimMark> {
        self.claimed().insert(cell).then(|| ClaimMark {
            board: Arc::clone(self),
            cell,
        })
    }

    /// Returns whether this process is about to own a cell.
    pub(super) fn is_claiming(&self, cell: u32) -> bool {
        self.claimed().contains(&cell)
    }

    fn claimed(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.claimed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn add(&self, owner: Arc<CellOwner>) {
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(owner.cell(), owner);
    }

    /// Forgets an owner unless a later one is in its place.
    pub(super) fn remove(&self, owner: &CellOwner) {
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        let cell = owner.cell();
        if owned
            .get(&cell)
            .is_some_and(|known| known.epoch() == owner.epoch())
        {
            owned.remove(&cell);
        }
    }
}
