use std::borrow::Cow;
use std::ops::AddAssign;
use std::ops::SubAssign;

use dotterelhook_types::sizes::Resources;

use super::TimeSpread;
use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::JobId;

/// The largest amount of a resource that is told apart from larger ones.
const AMOUNT_MAX: u64 = 1 << 40;

/// Free resources; negative while more is claimed than is free now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Processor capacity in thousandths of a core.
    pub cpu_milli: i64,
    /// Memory in megabytes.
    pub memory_mb: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

impl Room {
    /// Returns whether a task that needs `need` fits. What a task does not need may be overdrawn.
    pub fn holds(&self, need: &Self) -> bool {
        let fits = |room: i64, need: i64| need == 0 || room >= need;
        fits(self.cpu_milli, need.cpu_milli)
            && fits(self.memory_mb, need.memory_mb)
            && fits(self.accelerators, need.accelerators)
    }
}

impl From<Resources> for Room {
    /// Cuts off at an amount that no executor has, so that sums can't overflow.
    fn from(resources: Resources) -> Self {
        let signed = |amount: u64| amount.min(AMOUNT_MAX) as i64;
        Self {
            cpu_milli: signed(resources.cpu_milli.0),
            memory_mb: signed(resources.memory_mb.0),
            accelerators: signed(resources.accelerators.0),
        }
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl SubAssign for Room {
    fn sub_assign(&mut self, other: Self) {
        self.cpu_milli -= other.cpu_milli;
        self.memory_mb -= other.memory_mb;
        self.accelerators -= other.accelerators;
    }
}

/// The expected end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DueEnd {
    /// The step of the run.
    pub step: (JobId, StepRef),
    /// The resources that the end frees.
    pub room: Room,
    /// The time until the end; `None` for a run that is not expected to end.
    pub due: Option<TimeSpread>,
}

impl DueEnd {
    /// Returns the sort key; ends that are not expected are last.
    fn order(&self) -> f64 {
        self.due.map_or(f64::INFINITY, |due| due.median_ms())
    }
}

/// The free resources of an executor and the ends that are due there.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorOutlook {
    /// The executor.
    pub executor: ExecutorId,
    /// The resources that are free now.
    pub room: Room,
    /// The runs on the executor.
    pub ends: Vec<DueEnd>,
}

/// What a task needs of an executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotNeed {
    /// The step of the task.
    pub step: (JobId, StepRef),
    /// The room at which the task fits. Less than `room` for a filler, which also works with a part
    /// of its processor need.
    pub room_min: Room,
    /// The room that the task takes.
    pub room: Room,
    /// The room that the task takes from work that is no filler.
    pub reserved: Room,
    /// Limits the tasks of the step on one executor.
    pub per_executor_max: Option<u32>,
    /// How long the task takes.
    pub run_time: TimeSpread,
}

/// The place and time at which a task is expected to fit.
#[derive(Clone, Debug, PartialEq)]
pub struct Slot {
    /// The executor.
    pub executor: ExecutorId,
    /// The time until the task fits; 0 if it fits now.
    pub start: TimeSpread,
    /// The share of the task's room that is free on the executor until then, 0 to 1.
    pub idle_share: f64,
}

/// When capacity is expected on the executors of a rack, after what waits ahead.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityForecast {
    executors: Vec<ExecutorOutlook>,
}

impl Slot {
    /// Returns the time at which the last of the slots is free.
    pub fn latest_start(slots: &[Self]) -> TimeSpread {
        let none = TimeSpread::default();
        slots
            .iter()
            .fold(none, |latest, slot| latest.max(&slot.start))
    }
}

impl SlotNeed {
    /// Returns the need as it appears to work that is no filler.
    #[must_use]
    pub fn as_reserved(&self) -> Self {
        Self {
            room_min: self.reserved,
            room: self.reserved,
            ..*self
        }
    }
}

impl ExecutorOutlook {
    /// Returns the first time at which the task fits.
    fn first_fit(&self, need: &SlotNeed) -> Option<TimeSpread> {
        let mut room = self.room;
        let is_same_step = |end: &&DueEnd| end.step == need.step;
        let mut same_step_count = match need.per_executor_max {
            Some(_) => self.ends.iter().filter(is_same_step).count() as u32,
            None => 0,
        };
        let limit = need.per_executor_max.unwrap_or(u32::MAX);
        if room.holds(&need.room_min) && same_step_count < limit {
            return Some(TimeSpread::default());
        }
        for end in &self.ends {
            // Runs that are not expected to end are last.
            let due = end.due?;
            room += end.room;
            if need.per_executor_max.is_some() {
                same_step_count -= u32::from(is_same_step(&end));
            }
            if room.holds(&need.room_min) && same_step_count < limit {
                return Some(due);
            }
        }
        None
    }

    fn idle_share(&self, need: &SlotNeed) -> f64 {
        let free_milli = self.room.cpu_milli.max(0) as f64;
        (free_milli / need.room.cpu_milli.max(1) as f64).min(1.0)
    }

    /// Reserves a slot from now on: what is free until the start is held as well. `due` is the end of
    /// the task.
    fn claim(&mut self, need: &SlotNeed, due: Option<TimeSpread>) {
        self.room -= need.room;
        let end = DueEnd {
            step: need.step,
            room: need.room,
            due,
        };
        let position = self
            .ends
            .partition_point(|other| other.order() <= end.order());
        self.ends.insert(position, end);
    }
}

impl CapacityForecast {
    /// Creates the forecast from the executors that accept runs.
    pub fn new(mut executors: Vec<ExecutorOutlook>) -> Self {
        for outlook in &mut executors {
            let ends = &mut outlook.ends;
            ends.sort_by(|a, b| a.order().total_cmp(&b.order()));
        }
        Self { executors }
    }

    /// Returns the earliest slot for a task, or `None` if no capacity is expected.
    ///
    /// `is_excluded` tells whether an executor must not hold the task; it receives whether the task
    /// would fit there now.
    pub fn find(
        &self,
        need: &SlotNeed,
        is_excluded: impl Fn(&ExecutorId, bool) -> bool,
    ) -> Option<Slot> {
        self.find_all(need, 1, is_excluded)?.pop()
    }

    /// Returns slots for all members of a gang, which run at the same time.
    pub fn find_all(
        &self,
        need: &SlotNeed,
        count: usize,
        is_excluded: impl Fn(&ExecutorId, bool) -> bool,
    ) -> Option<Vec<Slot>> {
        let fits = self.executors.iter();
        let fits =
            fits.filter_map(|outlook| Some((outlook.first_fit(need)?, Cow::Borrowed(outlook))));
        let mut fits: Vec<(TimeSpread, Cow<'_, ExecutorOutlook>)> = fits.collect();
        // The next slot is last.
        let order = |(start, _): &(TimeSpread, Cow<'_, ExecutorOutlook>)| -start.median_ms();
        fits.sort_by(|a, b| order(a).total_cmp(&order(b)));
        let mut slots = Vec::with_capacity(count);
        while slots.len() < count {
            let (start, mut outlook) = fits.pop()?;
            if is_excluded(&outlook.executor, start.median_ms() <= 0.0) {
                continue;
            }
            slots.push(Slot {
                executor: outlook.executor.clone(),
                start,
                idle_share: outlook.idle_share(need),
            });
            if slots.len() == count {
                break;
            }
            // No member can follow another one, so the claim does not end.
            outlook.to_mut().claim(need, None);
            if let Some(next) = outlook.first_fit(need) {
                let next = (next, outlook);
                let position = fits.partition_point(|other| order(other) <= order(&next));
                fits.insert(position, next);
            }
        }
        Some(slots)
    }

    /// Reserves the slots of a task, or of the members of a gang.
    pub fn claim(&mut self, need: &SlotNeed, slots: &[Slot]) {
        let start = Slot::latest_start(slots);
        for slot in slots {
            self.claim_until(need, &slot.executor, Some(start.plus(&need.run_time)));
        }
    }

    /// Adds a run that was placed on an executor, if the forecast covers it.
    pub fn record_placement(&mut self, executor: &ExecutorId, need: &SlotNeed) {
        self.claim_until(need, executor, Some(need.run_time));
    }

    fn claim_until(&mut self, need: &SlotNeed, executor: &ExecutorId, due: Option<TimeSpread>) {
        let mut outlooks = self.executors.iter_mut();
        if let Some(outlook) = outlooks.find(|outlook| outlook.executor == *executor) {
            outlook.claim(need, due);
        }
    }
}
