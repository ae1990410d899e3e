use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

const ROOM_SCALE: u64 = 4_096;

type RoomKey = (Reverse<u64>, Arc<WorkerId>);
type CapacityKey = (u64, u64, u64);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Room {
    capacity: Resources,
    free: Resources,
    is_out: bool,
}

/// The free capacity of each worker, ordered by its scarcer resource, roomiest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct FreeIndex {
    rooms: BTreeMap<Arc<WorkerId>, Room>,
    plain: BTreeSet<RoomKey>,
    accelerated: BTreeSet<RoomKey>,
    capacities: BTreeMap<CapacityKey, u32>,
    largest: Resources,
    total: Resources,
}

impl FreeIndex {
    /// Sets what a worker has and what of it is free.
    pub(super) fn set(&mut self, worker: &WorkerId, capacity: Resources, free: Resources) {
        let known = self.rooms.get_key_value(worker);
        let (id, old) = match known {
            Some((id, room)) => (Arc::clone(id), Some(*room)),
            None => (Arc::new(worker.clone()), None),
        };
        if let Some(old) = old {
            self.unlist(&id, &old);
        }
        if old.map(|room| room.capacity) != Some(capacity) {
            self.change_capacity(old.map(|room| room.capacity), capacity);
        }
        let is_out = old.is_some_and(|room| room.is_out);
        let room = Room {
            capacity,
            free,
            is_out,
        };
        self.rooms.insert(Arc::clone(&id), room);
        self.list(id, &room);
    }

    /// Takes a worker out of the order, or puts it back.
    pub(super) fn set_out(&mut self, worker: &Arc<WorkerId>, is_out: bool) {
        let Some(mut room) = self.rooms.get(worker).copied() else {
            return;
        };
        self.unlist(worker, &room);
        room.is_out = is_out;
        self.rooms.insert(Arc::clone(worker), room);
        self.list(Arc::clone(worker), &room);
    }

    /// Sets what is free of a known worker.
    pub(super) fn set_free(&mut self, worker: &WorkerId, free: Resources) {
        if let Some(room) = self.rooms.get(worker) {
            let capacity = room.capacity;
            self.set(worker, capacity, free);
        }
    }

    /// Returns what is free of a known worker.
    pub(super) fn free(&self, worker: &WorkerId) -> Option<Resources> {
        self.rooms.get(worker).map(|room| room.free)
    }

    /// Returns all workers and what is free of each.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Arc<WorkerId>, Resources)> {
        self.rooms.iter().map(|(id, room)| (id, room.free))
    }

    /// Returns the workers with room for the size, roomiest first; workers with
    /// accelerators come last for sizes that need none.
    pub(super) fn fitting(&self, size: Resources) -> impl Iterator<Item = &Arc<WorkerId>> {
        let least_room = self.room_of(&size);
        let has_enough = move |(room, _): &&RoomKey| room.0 >= least_room;
        let plain = self.plain.iter().take_while(has_enough);
        let accelerated = self.accelerated.iter().take_while(has_enough);
        let needs_none = size.accelerators.0 == 0;
        let fits = move |id: &&Arc<WorkerId>| size.fits_in(&self.rooms[*id].free);
        plain
            .take_while(move |_| needs_none)
            .chain(accelerated)
            .map(|(_, id)| id)
            .filter(fits)
    }

    /// Returns the roomiest worker that would have room for the size when empty.
    pub(super) fn best_when_empty(&self, size: Resources) -> Option<&Arc<WorkerId>> {
        let pools = self.plain.iter().chain(&self.accelerated);
        let mut able = pools.filter(|(_, id)| size.fits_in(&self.rooms[id].capacity));
        able.next().map(|(_, id)| id)
    }

    /// Returns whether any worker has room for the size when empty.
    pub(super) fn can_ever_fit(&self, size: &Resources) -> bool {
        self.capacities.keys().any(|&(cpu, memory, accelerators)| {
            size.cpu_milli.0 <= cpu
                && size.memory_mb.0 <= memory
                && size.accelerators.0 <= accelerators
        })
    }

    /// Returns the capacity of the worker that lacks the least for the size.
    pub(super) fn closest_capacity(&self, size: &Resources) -> Resources {
        let lack = |room: &Room| {
            let share = |want: u64, has: u64| want.saturating_mul(ROOM_SCALE) / has.max(1);
            share(size.cpu_milli.0, room.capacity.cpu_milli.0)
                .max(share(size.memory_mb.0, room.capacity.memory_mb.0))
                .max(share(size.accelerators.0, room.capacity.accelerators.0))
        };
        let closest = self.rooms.values().min_by_key(|room| lack(room));
        closest.map(|room| room.capacity).unwrap_or_default()
    }

    /// Returns whether no worker is known.
    pub(super) fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// Returns the sum over all workers.
    pub(super) fn total(&self) -> &Resources {
        &self.total
    }

    fn room_of(&self, size: &Resources) -> u64 {
        let share = |part: u64, of: u64| part.saturating_mul(ROOM_SCALE) / of.max(1);
        share(size.cpu_milli.0, self.largest.cpu_milli.0)
            .min(share(size.memory_mb.0, self.largest.memory_mb.0))
    }

    fn pool(&mut self, room: &Room) -> &mut BTreeSet<RoomKey> {
        if room.capacity.accelerators.0 > 0 {
            &mut self.accelerated
        } else {
            &mut self.plain
        }
    }

    fn list(&mut self, id: Arc<WorkerId>, room: &Room) {
        if !room.is_out {
            let key = (Reverse(self.room_of(&room.free)), id);
            self.pool(room).insert(key);
        }
    }

    fn unlist(&mut self, id: &Arc<WorkerId>, room: &Room) {
        let key = (Reverse(self.room_of(&room.free)), Arc::clone(id));
        self.pool(room).remove(&key);
    }

    fn change_capacity(&mut self, old: Option<Resources>, new: Resources) {
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
            self.relist();
        }
    }

    fn relist(&mut self) {
        self.plain.clear();
        self.accelerated.clear();
        let rooms: Vec<(Arc<WorkerId>, Room)> = self
            .rooms
            .iter()
            .map(|(id, room)| (Arc::clone(id), *room))
            .collect();
        for (id, room) in rooms {
            self.list(id, &room);
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
