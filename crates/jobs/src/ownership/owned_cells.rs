use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::CellOwner;

/// The cells that this process owns or is claiming.
#[derive(Default)]
pub struct OwnedCells {
    owned: RwLock<BTreeMap<u32, Arc<CellOwner>>>,
    /// Cells with a claim in progress.
    claiming: Mutex<BTreeSet<u32>>,
}

/// A guard that marks a cell as being claimed until the guard is dropped.
pub(super) struct ClaimGuard {
    owned_cells: Arc<OwnedCells>,
    cell: u32,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.owned_cells.claiming().remove(&self.cell);
    }
}

impl OwnedCells {
    /// Returns the active owner of a cell, or `None` if this process does not own the cell.
    pub fn find(&self, cell: u32) -> Option<Arc<CellOwner>> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        owned.get(&cell).filter(|owner| owner.is_active()).cloned()
    }

    /// Returns all owners in this process, including released ones that have not been removed.
    pub fn all(&self) -> Vec<Arc<CellOwner>> {
        let owned = self.owned.read().unwrap_or_else(PoisonError::into_inner);
        owned.values().cloned().collect()
    }

    /// Returns whether this process owns a cell or is claiming one.
    pub(super) fn has_any(&self) -> bool {
        // In this order, since a claim ends after its owner is added.
        let is_claiming = !self.claiming().is_empty();
        is_claiming || !self.all().is_empty()
    }

    /// Marks a cell as being claimed. Returns `None` if a claim is already in progress.
    pub(super) fn try_begin_claim(self: &Arc<Self>, cell: u32) -> Option<ClaimGuard> {
        self.claiming().insert(cell).then(|| ClaimGuard {
            owned_cells: Arc::clone(self),
            cell,
        })
    }

    /// Returns whether a claim of the cell is in progress in this process.
    pub(super) fn is_claiming(&self, cell: u32) -> bool {
        self.claiming().contains(&cell)
    }

    fn claiming(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.claiming.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn add(&self, owner: Arc<CellOwner>) {
        let mut owned = self.owned.write().unwrap_or_else(PoisonError::into_inner);
        owned.insert(owner.cell(), owner);
    }

    /// Removes an owner, unless an owner with another epoch has replaced it.
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
