use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use super::CellOwner;

/// The cells that this process owns.
#[derive(Default)]
pub struct OwnerBoard {
    owned: RwLock<BTreeMap<u32, Arc<CellOwner>>>,
}

impl OwnerBoard {
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
