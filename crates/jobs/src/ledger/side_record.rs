/// Whether the contents that are stored beside the progress of a job have to be stored again, and in how
/// many records they are.
///
/// The progress itself can't hold what such records hold: processes of an earlier version could not
/// read it any more.
#[derive(Clone, Debug, Default)]
pub struct SideRecord {
    /// Whether the store holds other contents.
    is_dirty: bool,
    /// The number of records that the store holds.
    stored_count: usize,
}

impl SideRecord {
    /// Notes that the contents may have changed.
    pub(super) fn mark_dirty(&mut self, has_changed: bool) {
        self.is_dirty |= has_changed;
    }

    /// Notes that a part of the contents comes from the store.
    pub(super) fn mark_stored(&mut self, part: usize) {
        self.stored_count = self.stored_count.max(part + 1);
    }

    /// Returns whether the contents must be stored now, and counts them as stored. Empty contents
    /// delete the records.
    pub(super) fn take_change(&mut self, is_empty: bool) -> bool {
        let is_dirty = std::mem::take(&mut self.is_dirty);
        is_dirty && (self.stored_count > 0 || !is_empty)
    }

    /// Sets the number of records that the contents take from now on, and returns the former one.
    pub fn replace_stored_count(&mut self, count: usize) -> usize {
        std::mem::replace(&mut self.stored_count, count)
    }
}
