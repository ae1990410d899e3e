use std::borrow::Borrow;
use std::collections::BTreeMap;

use dotterelhook_types::ids::Offset;

/// A bounded map that retains the entries with the highest offsets.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RecentMap<K, V> {
    entries: BTreeMap<K, (Offset, V)>,
    order: BTreeMap<Offset, K>,
    entries_max: usize,
}

impl<K: Clone + Ord, V> RecentMap<K, V> {
    /// Creates an empty map that retains at most `entries_max` entries.
    pub(super) fn new(entries_max: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            entries_max,
        }
    }

    /// Returns the offset and value of a key.
    pub(super) fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&(Offset, V)>
    where
        K: Borrow<Q>,
    {
        self.entries.get(key)
    }

    /// Inserts or replaces an entry. Returns the offset of the evicted entry, if any.
    pub(super) fn insert(&mut self, key: K, offset: Offset, value: V) -> Option<Offset> {
        if let Some((old_offset, _)) = self.entries.insert(key.clone(), (offset, value)) {
            self.order.remove(&old_offset);
        }
        self.order.insert(offset, key);
        if self.entries.len() <= self.entries_max {
            return None;
        }
        let (oldest, key) = self.order.pop_first()?;
        self.entries.remove(&key);
        Some(oldest)
    }

    pub(super) fn remove<Q: Ord + ?Sized>(&mut self, key: &Q)
    where
        K: Borrow<Q>,
    {
        if let Some((offset, _)) = self.entries.remove(key) {
            self.order.remove(&offset);
        }
    }

    /// Returns the entries ordered by key.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&K, Offset, &V)> {
        self.entries
            .iter()
            .map(|(key, (offset, value))| (key, *offset, value))
    }
}
