use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::free_index::FreeIndex;
use crate::placement::JobKey;
use crate::placement::PlacementContext;
use crate::placement::WaitReason;

/// Maximum number of workers checked against the colocation policy for one task.
const CANDIDATES_MAX: usize = 64;
const UNPLACEABLE_SIZES_MAX: usize = 64;

/// Changes that one placement round makes to the index; rolled back at the end of the round.
///
/// Excluded workers stay excluded: those found unusable and those that got their probe.
#[derive(Default)]
pub(super) struct TentativeChanges {
    /// Free resources before the round of each worker on which the round reserved some.
    free_before: BTreeMap<Arc<WorkerId>, Resources>,
    reserved_worker: Option<Arc<WorkerId>>,
    excluded: Vec<Arc<WorkerId>>,
    /// Sizes for which no worker has room in this round.
    unplaceable_sizes: Vec<Resources>,
}

impl TentativeChanges {
    /// Returns the usable worker with the most room for one task.
    ///
    /// With `allows_interference`, the task may run beside a service that it would slow down if no
    /// other worker has room.
    ///
    /// # Errors
    /// Returns the reason if no worker can take the task.
    pub(super) fn find_worker(
        &mut self,
        index: &mut FreeIndex,
        context: &PlacementContext<'_>,
        job: &JobKey,
        size: Resources,
        allows_interference: bool,
    ) -> Result<Arc<WorkerId>, WaitReason> {
        if self
            .unplaceable_sizes
            .iter()
            .any(|known| known.fits_in(&size))
        {
            return Err(WaitReason::NoRoom);
        }
        let mut unusable = Vec::new();
        let mut avoided = None;
        let mut found = None;
        let usable = index.workers_with_room(size).filter(|worker| {
            let is_usable = (context.is_usable)(worker);
            if !is_usable {
                unusable.push(Arc::clone(worker));
            }
            is_usable
        });
        for worker in usable.take(CANDIDATES_MAX) {
            if !context.colocation.is_avoided(worker, job, &size) {
                found = Some(Arc::clone(worker));
                break;
            }
            avoided.get_or_insert_with(|| Arc::clone(worker));
        }
        for worker in unusable {
            self.exclude(index, worker);
        }
        match (found, avoided) {
            (Some(worker), _) => Ok(worker),
            (None, Some(worker)) if allows_interference => Ok(worker),
            (None, Some(_)) => Err(WaitReason::Interference),
            (None, None) => {
                self.record_unplaceable(size);
                Err(WaitReason::NoRoom)
            }
        }
    }

    /// Reserves resources on a worker for the rest of the round.
    pub(super) fn reserve_resources(
        &mut self,
        index: &mut FreeIndex,
        worker: &Arc<WorkerId>,
        size: &Resources,
    ) {
        let Some(free) = index.free(worker) else {
            return;
        };
        self.free_before.entry(Arc::clone(worker)).or_insert(free);
        index.set_free(worker, free.saturating_sub(size));
    }

    /// Excludes a worker from the index until a later round finds the worker usable.
    pub(super) fn exclude(&mut self, index: &mut FreeIndex, worker: Arc<WorkerId>) {
        index.set_excluded(&worker, true);
        self.excluded.push(worker);
    }

    /// Reserves a whole worker for the rest of the round, so that its free resources grow; at most
    /// one worker per round.
    pub(super) fn reserve_worker(&mut self, index: &mut FreeIndex, worker: Arc<WorkerId>) {
        index.set_excluded(&worker, true);
        self.reserved_worker = Some(worker);
    }

    /// Rolls back all changes; returns the workers that stay excluded.
    pub(super) fn roll_back(&mut self, index: &mut FreeIndex) -> Vec<Arc<WorkerId>> {
        if let Some(worker) = self.reserved_worker.take() {
            index.set_excluded(&worker, false);
        }
        for (worker, free) in std::mem::take(&mut self.free_before) {
            index.set_free(&worker, free);
        }
        std::mem::take(&mut self.excluded)
    }

    fn record_unplaceable(&mut self, size: Resources) {
        if self.unplaceable_sizes.len() < UNPLACEABLE_SIZES_MAX {
            self.unplaceable_sizes.push(size);
        }
    }
}
