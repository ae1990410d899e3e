use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;

use super::recent_map::RecentMap;

const RETAINED_REMOVALS_MAX: usize = 1_000;

/// Offsets at which paths were removed. They prevent a delayed duplicate of an old publication from
/// restoring a removed path.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Removals {
    by_path: RecentMap<ConfigPath, ()>,
    discarded_through: Option<Offset>,
}

impl Default for Removals {
    fn default() -> Self {
        Self {
            by_path: RecentMap::new(RETAINED_REMOVALS_MAX),
            discarded_through: None,
        }
    }
}

impl Removals {
    /// Returns whether a publisher that had read up to `base` has observed the path's last removal.
    ///
    /// A removal that is no longer retained is assumed to be as recent as the newest discarded one.
    pub(super) fn is_latest_observed(&self, path: &ConfigPath, base: Option<Offset>) -> bool {
        let removed = self.by_path.get(path).map(|(offset, ())| *offset);
        base >= removed.max(self.discarded_through)
    }

    /// Records the removal of a path and discards the oldest removal beyond the limit.
    pub(super) fn record(&mut self, path: ConfigPath, offset: Offset) {
        if let Some(discarded) = self.by_path.insert(path, offset, ()) {
            self.mark_discarded_through(discarded);
        }
    }

    /// Discards the removal of a path that is in force again.
    pub(super) fn discard(&mut self, path: &ConfigPath) {
        self.by_path.remove(path);
    }

    /// Records that removals up to and including an offset may have been discarded.
    pub(super) fn mark_discarded_through(&mut self, offset: Offset) {
        self.discarded_through = self.discarded_through.max(Some(offset));
    }

    /// Returns the offset of the newest removal that was discarded to stay within the limit.
    pub(super) fn discarded_through(&self) -> Option<Offset> {
        self.discarded_through
    }

    /// Returns the retained removals, ordered by path.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ConfigPath, Offset)> {
        self.by_path.iter().map(|(path, offset, ())| (path, offset))
    }
}
