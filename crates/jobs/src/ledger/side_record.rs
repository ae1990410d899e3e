/// Whether a record that is stored beside the progress of a job has to be stored again.
///
/// The progress itself can't hold what such records hold: processes of an earlier version could not
/// read it any more.
#[derive(Clone, Debug, Default)]
pub(super) struct SideRecord {
    /// Whether the store holds other contents.
    is_dirty: bool,
    /// Whether the store holds a record.
    is_stored: bool,
}

impl SideRecord {
    /// Notes that the contents may have changed.
    pub(super) fn mark_dirty(&mut self, has_changed: bool) {
        self.is_dirty |= has_changed;
    }

    /// Notes that the contents come from the store.
    pub(super) fn mark_stored(&mut self) {
        self.is_stored = true;
    }

    /// Returns whether the contents must be stored now, and counts them as stored. Empty contents
    /// delete the record.
    pub(super) fn take_change(&mut self, is_empty: bool) -> bool {
        let is_dirty = std::mem::take(&mut self.is_dirty);
        let was_stored = std::mem::replace(&mut self.is_stored, !is_empty);
        is_dirty && (was_stored || self.is_stored)
    }
}
