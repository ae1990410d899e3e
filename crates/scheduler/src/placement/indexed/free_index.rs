use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// Fixed-point scale of headroom and capacity ratios.
const RATIO_SCALE: u64 = 4_096;

type HeadroomKey = (Reverse<u64>, Arc<WorkerId>);
type CapacityKey = (u64, u64, u64);

#[derive(Clone, Copy, Debug, PartialEq)]
struct WorkerEntry {
    capacity: Resources,
    free: Resources,
    is_excluded: bool,
}

/// The free resources of each worker, ordered by headroom, most first.
///
/// Headroom is the scarcer one of free processor time and free memory, each as a fraction of the
/// largest capacity among all workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct FreeIndex {
    workers: BTreeMap<Arc<WorkerId>, WorkerEntry>,
    without_accelerators: BTreeSet<HeadroomKey>,
    with_accelerators: BTreeSet<HeadroomKey>,
    /// Number of workers with each capacity.
    capacities: BTreeMap<CapacityKey, u32>,
    /// The largest processor and memory capacities, each over all workers.
    largest: Resources,
    total: Resources,
}

impl FreeIndex {
    /// Sets the capacity and the free resources of a worker; adds an unknown worker.
    pub(super) fn set(&mut self, worker: &WorkerId, capacity: Resources, free: Resources) {
        let known = self.workers.get_key_value(worker);
        let (id, old) = match known {
            Some((id, entry)) => (Arc::clone(id), Some(*entry)),
            None => (Arc::new(worker.clone()), None),
        };
        if let Some(old) = old {
            self.remove_ranked(&id, &old);
        }
        if old.map(|entry| entry.capacity) != Some(capacity) {
            self.replace_capacity(old.map(|entry| entry.capacity), capacity);
        }
        let is_excluded = old.is_some_and(|entry| entry.is_excluded);
        let entry = WorkerEntry {
            capacity,
            free,
            is_excluded,
        };
        self.workers.insert(Arc::clone(&id), entry);
        self.insert_ranked(id, &entry);
    }

    /// Excludes a worker from the headroom order, or includes the worker again.
    pub(super) fn set_excluded(&mut self, worker: &Arc<WorkerId>, is_excluded: bool) {
        let Some(mut entry) = self.workers.get(worker).copied() else {
            return;
        };
        self.remove_ranked(worker, &entry);
        entry.is_excluded = is_excluded;
        self.workers.insert(Arc::clone(worker), entry);
        self.insert_ranked(Arc::clone(worker), &entry);
    }

    /// Sets the free resources of a known worker.
    pub(super) fn set_free(&mut self, worker: &WorkerId, free: Resources) {
        if let Some(entry) = self.workers.get(worker) {
            let capacity = entry.capacity;
            self.set(worker, capacity, free);
        }
    }

    /// Returns the free resources of a known worker.
    pub(super) fn free(&self, worker: &WorkerId) -> Option<Resources> {
        self.workers.get(worker).map(|entry| entry.free)
    }

    /// Returns all workers with their free resources.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<WorkerId>, Resources)> {
        self.workers.iter().map(|(id, entry)| (id, entry.free))
    }

    /// Returns the included workers with room for the size, most headroom first.
    ///
    /// Workers with accelerators come last for sizes without accelerators.
    pub(super) fn workers_with_room(
        &self,
        size: Resources,
    ) -> impl Iterator<Item = &Arc<WorkerId>> {
        let least_headroom = self.headroom(&size);
        let has_enough = move |(headroom, _): &&HeadroomKey| headroom.0 >= least_headroom;
        let without = self.without_accelerators.iter().take_while(has_enough);
        let with = self.with_accelerators.iter().take_while(has_enough);
        let needs_none = size.accelerators.0 == 0;
        let fits = move |id: &&Arc<WorkerId>| size.fits_in(&self.workers[*id].free);
        without
            .take_while(move |_| needs_none)
            .chain(with)
            .map(|(_, id)| id)
            .filter(fits)
    }

    /// Returns the included workers whose capacity fits the size, most headroom first.
    pub(super) fn workers_with_capacity(
        &self,
        size: Resources,
    ) -> impl Iterator<Item = &Arc<WorkerId>> {
        let ordered = self
            .without_accelerators
            .iter()
            .chain(&self.with_accelerators);
        let capable = ordered.filter(move |(_, id)| size.fits_in(&self.workers[id].capacity));
        capable.map(|(_, id)| id)
    }

    /// Returns whether the size fits the capacity of any worker.
    pub(super) fn has_capacity_for(&self, size: &Resources) -> bool {
        self.capacities.keys().any(|&(cpu, memory, accelerators)| {
            size.cpu_milli.0 <= cpu
                && size.memory_mb.0 <= memory
                && size.accelerators.0 <= accelerators
        })
    }

    /// Returns the capacity of the worker that comes closest to fitting the size.
    pub(super) fn closest_capacity(&self, size: &Resources) -> Resources {
        let required_ratio = |entry: &WorkerEntry| {
            let ratio = |needed: u64, has: u64| needed.saturating_mul(RATIO_SCALE) / has.max(1);
            ratio(size.cpu_milli.0, entry.capacity.cpu_milli.0)
                .max(ratio(size.memory_mb.0, entry.capacity.memory_mb.0))
                .max(ratio(size.accelerators.0, entry.capacity.accelerators.0))
        };
        let closest = self
            .workers
            .values()
            .min_by_key(|entry| required_ratio(entry));
        closest.map(|entry| entry.capacity).unwrap_or_default()
    }

    /// Returns whether the index has no workers.
    pub(super) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the total capacity of all workers.
    pub(super) fn total(&self) -> &Resources {
        &self.total
    }

    fn headroom(&self, free: &Resources) -> u64 {
        let ratio = |free: u64, largest: u64| free.saturating_mul(RATIO_SCALE) / largest.max(1);
        ratio(free.cpu_milli.0, self.largest.cpu_milli.0)
            .min(ratio(free.memory_mb.0, self.largest.memory_mb.0))
    }

    fn order_mut(&mut self, entry: &WorkerEntry) -> &mut BTreeSet<HeadroomKey> {
        if entry.capacity.accelerators.0 > 0 {
            &mut self.with_accelerators
        } else {
            &mut self.without_accelerators
        }
    }

    fn insert_ranked(&mut self, id: Arc<WorkerId>, entry: &WorkerEntry) {
        if !entry.is_excluded {
            let key = (Reverse(self.headroom(&entry.free)), id);
            self.order_mut(entry).insert(key);
        }
    }

    fn remove_ranked(&mut self, id: &Arc<WorkerId>, entry: &WorkerEntry) {
        let key = (Reverse(self.headroom(&entry.free)), Arc::clone(id));
        self.order_mut(entry).remove(&key);
    }

    fn replace_capacity(&mut self, old: Option<Resources>, new: Resources) {
        if let Some(old) = old {
            self.total = self.total.saturating_sub(&old);
            let count = self.capacities.entry(capacity_key(&old)).or_default();
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&capacity_key(&old));
            }
        }
        self.total = self.total.saturating_add(&new);
        *self.capacities.entry(capacity_key(&new)).or_default() += 1;
        let mut largest = Resources::default();
        for &(cpu, memory, _) in self.capacities.keys() {
            let capacity = Resources::new(cpu, memory);
            largest.cpu_milli = largest.cpu_milli.max(capacity.cpu_milli);
            largest.memory_mb = largest.memory_mb.max(capacity.memory_mb);
        }
        if largest != self.largest {
            self.largest = largest;
            self.rebuild_order();
        }
    }

    fn rebuild_order(&mut self) {
        self.without_accelerators.clear();
        self.with_accelerators.clear();
        let workers: Vec<(Arc<WorkerId>, WorkerEntry)> = self
            .workers
            .iter()
            .map(|(id, entry)| (Arc::clone(id), *entry))
            .collect();
        for (id, entry) in workers {
            self.insert_ranked(id, &entry);
        }
    }
}

fn capacity_key(capacity: &Resources) -> CapacityKey {
    (
        capacity.cpu_milli.0,
        capacity.memory_mb.0,
        capacity.accelerators.0,
    )
}
