use std::sync::Arc;

use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::sizes::Resources;

use super::indexed_placer::IndexedPlacer;
use super::run_class::ClassKey;
use crate::placement::NeverRunnable;
use crate::placement::PlacementContext;
use crate::placement::ResourceKind;
use crate::placement::WaitReason;

/// A class of runs during one round.
pub(super) struct ClassRound {
    pub(super) key: Arc<ClassKey>,
    /// The larger of declared and observed size.
    pub(super) size: Resources,
    /// Why no task of the class can be placed any more.
    pub(super) blocked: Option<WaitReason>,
    /// The oldest run that may have tasks left.
    pub(super) cursor: Option<(Offset, RunId)>,
}

impl ClassRound {
    /// Reads a class; an observed size that no worker can hold is not heeded.
    pub(super) fn new(
        placer: &IndexedPlacer,
        key: &Arc<ClassKey>,
        context: &PlacementContext<'_>,
    ) -> Self {
        let declared = key.declared();
        let advised = context.sizes.size(&key.job, &declared);
        let fits = placer.free.can_ever_fit(&advised);
        Self {
            key: Arc::clone(key),
            size: if fits { advised } else { declared },
            blocked: None,
            cursor: placer.classes[key].by_age.first().cloned(),
        }
    }

    /// Returns whether the class may be placed before all work that is not urgent.
    pub(super) fn is_urgent(&self) -> bool {
        self.key.priority == Priority::Urgent
    }

    /// Blocks a class that can never run, and returns what to say of one of its runs.
    pub(super) fn block_never_runnable(
        &mut self,
        placer: &IndexedPlacer,
        context: &PlacementContext<'_>,
        run: &RunId,
    ) -> Option<NeverRunnable> {
        let quota = context.quotas.limit(&self.key.job.team);
        let quota = quota.filter(|quota| !self.size.fits_in(quota));
        if quota.is_none() && placer.free.can_ever_fit(&self.size) {
            return None;
        }
        self.blocked = Some(WaitReason::NeverRunnable);
        let knows_workers = context.has_all_inventories && !placer.free.is_empty();
        if quota.is_none() && !knows_workers {
            return None;
        }
        let limit = quota.unwrap_or_else(|| placer.free.closest_capacity(&self.size));
        let resource = ResourceKind::first_exceeded(&self.size, &limit)?;
        Some(NeverRunnable {
            run: run.clone(),
            size: self.size,
            resource,
            limit,
            is_quota_limit: quota.is_some(),
        })
    }
}
