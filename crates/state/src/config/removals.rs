use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;

use super::recent_map::RecentMap;

const KEPT_REMOVALS: usize = 1_000;

/// When paths were removed, so that a late copy of an old publication can't bring one back.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Removals {
    by_path: RecentMap<ConfigPath, ()>,
    forgotten_to: Option<Offset>,
}

impl Default for Removals {
    fn default() -> Self {
        Self {
            by_path: RecentMap::new(KEPT_REMOVALS),
            forgotten_to: None,
        }
    }
}

impl Removals {
    /// Returns whether a publisher that read up to `base` knows of the path's last removal.
    pub(super) fn are_known_at(&self, path: &ConfigPath, base: Option<Offset>) -> bool {
        let removed = self.by_path.get(path).map(|(offset, ())| *offset);
        base >= removed.max(self.forgotten_to)
    }

    /// Keeps the removal of a path.
    pub(super) fn add(&mut self, path: ConfigPath, offset: Offset) {
        if let Some(forgotten) = self.by_path.insert(path, offset, ()) {
            self.forget_to(forgotten);
        }
    }

    /// Drops the removal of a path that is in force again.
    pub(super) fn drop_path(&mut self, path: &ConfigPath) {
        self.by_path.remove(path);
    }

    /// Notes that removals up to an offset are no longer kept.
    pub(super) fn forget_to(&mut self, offset: Offset) {
        self.forgotten_to = self.forgotten_to.max(Some(offset));
    }

    /// Returns the offset up to which removals are no longer kept.
    pub(super) fn forgotten_to(&self) -> Option<Offset> {
        self.forgotten_to
    }

    /// Returns the removals kept.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ConfigPath, Offset)> {
        self.by_path.iter().map(|(path, offset, ())| (path, offset))
    }
}
