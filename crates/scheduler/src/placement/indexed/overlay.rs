use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::free_index::FreeIndex;
use crate::placement::JobKey;
use crate::placement::PlacementContext;
use crate::placement::WaitReason;

const CANDIDATES_MAX: usize = 64;
const SIZES_KEPT: usize = 64;

/// What one round changed in the index, to be taken back at its end.
#[derive(Default)]
pub(super) struct Overlay {
    free_before: BTreeMap<Arc<WorkerId>, Resources>,
    held: Option<Arc<WorkerId>>,
    unusable: Vec<Arc<WorkerId>>,
    without_room: Vec<Resources>,
}

impl Overlay {
    /// Returns the roomiest usable worker for one task; `takes_any` lets the task run beside
    /// a service that it slows down if there is no other place.
    ///
    /// # Errors
    /// Returns why there is none.
    pub(super) fn find(
        &mut self,
        index: &mut FreeIndex,
        context: &PlacementContext<'_>,
        job: &JobKey,
        size: Resources,
        takes_any: bool,
    ) -> Result<Arc<WorkerId>, WaitReason> {
        if self.without_room.iter().any(|known| known.fits_in(&size)) {
            return Err(WaitReason::NoRoom);
        }
        let mut unusable = Vec::new();
        let mut avoided = None;
        let mut found = None;
        let usable = index.fitting(size).filter(|worker| {
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
            self.take_out(index, worker);
        }
        match (found, avoided) {
            (Some(worker), _) => Ok(worker),
            (None, Some(worker)) if takes_any => Ok(worker),
            (None, Some(_)) => Err(WaitReason::Interference),
            (None, None) => {
                self.keep_without_room(size);
                Err(WaitReason::NoRoom)
            }
        }
    }

    /// Reserves room for the round.
    pub(super) fn take(&mut self, index: &mut FreeIndex, worker: &Arc<WorkerId>, size: &Resources) {
        let Some(free) = index.free(worker) else {
            return;
        };
        self.free_before.entry(Arc::clone(worker)).or_insert(free);
        index.set_free(worker, free.saturating_sub(size));
    }

    /// Takes a worker out of the order until a later round finds it usable.
    pub(super) fn take_out(&mut self, index: &mut FreeIndex, worker: Arc<WorkerId>) {
        index.set_out(&worker, true);
        self.unusable.push(worker);
    }

    /// Keeps a worker free for the rest of the round; one at most.
    pub(super) fn hold(&mut self, index: &mut FreeIndex, worker: Arc<WorkerId>) {
        index.set_out(&worker, true);
        self.held = Some(worker);
    }

    /// Takes all changes back; returns the unusable workers, which stay out of the order.
    pub(super) fn restore(&mut self, index: &mut FreeIndex) -> Vec<Arc<WorkerId>> {
        if let Some(worker) = self.held.take() {
            index.set_out(&worker, false);
        }
        for (worker, free) in std::mem::take(&mut self.free_before) {
            index.set_free(&worker, free);
        }
        std::mem::take(&mut self.unusable)
    }

    fn keep_without_room(&mut self, size: Resources) {
        if self.without_room.len() < SIZES_KEPT {
            self.without_room.push(size);
        }
    }
}
