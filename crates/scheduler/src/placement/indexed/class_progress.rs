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

/// State of one scheduling class during a placement round.
pub(super) struct ClassProgress {
    pub(super) key: Arc<ClassKey>,
    /// Size to reserve for each task: the larger of the declared and the observed size.
    pub(super) size: Resources,
    /// Reason why no further task of the class can be placed in the round.
    pub(super) blocked_by: Option<WaitReason>,
    /// The oldest run that may have tasks left to place.
    pub(super) cursor: Option<(Offset, RunId)>,
}

impl ClassProgress {
    /// Starts a round for a class; an observed size above every worker's capacity is ignored.
    pub(super) fn new(
        placer: &IndexedPlacer,
        key: &Arc<ClassKey>,
        context: &PlacementContext<'_>,
    ) -> Self {
        let declared = key.declared();
        let estimated = context.sizes.size(&key.job, &declared);
        let fits = placer.free.has_capacity_for(&estimated);
        Self {
            key: Arc::clone(key),
            size: if fits { estimated } else { declared },
            blocked_by: None,
            cursor: placer.classes[key].by_submission.first().cloned(),
        }
    }

    /// Returns whether the class has urgent priority.
    pub(super) fn is_urgent(&self) -> bool {
        self.key.priority == Priority::Urgent
    }

    /// Blocks the class if its tasks can never run, and returns the report for one of its runs.
    ///
    /// Nothing is reported for lack of workers until the inventories of all workers are recorded.
    pub(super) fn block_if_never_runnable(
        &mut self,
        placer: &IndexedPlacer,
        context: &PlacementContext<'_>,
        run: &RunId,
    ) -> Option<NeverRunnable> {
        let quota = context.quotas.limit(&self.key.job.team);
        let quota = quota.filter(|quota| !self.size.fits_in(quota));
        if quota.is_none() && placer.free.has_capacity_for(&self.size) {
            return None;
        }
        self.blocked_by = Some(WaitReason::NeverRunnable);
        let knows_all_workers = context.has_all_inventories && !placer.free.is_empty();
        if quota.is_none() && !knows_all_workers {
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
