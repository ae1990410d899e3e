use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

use super::ExecutorClock;
use super::FillerHistory;
use super::Headroom;
use super::Health;
use super::Listing;
use super::Order;
use super::RampUp;
use super::RelativeSpeed;
use super::RunPhase;
use super::RunView;
use crate::model::ExecutorEntry;
use crate::model::ExecutorKey;
use crate::model::ImageName;
use crate::model::JobId;
use crate::model::RunNumber;
use crate::model::TaskId;

/// How long after the first failed call an executor may still answer for the first time.
const FIRST_ANSWER_MAX: Duration = Duration::from_secs(2);

/// The longest time after a restart until the executor has registered itself and its entry is read.
const REGISTRATION_MAX: Duration = Duration::from_secs(4);

/// One executor as the owner of its cell sees it.
#[derive(Debug)]
pub struct Executor {
    /// The executor's description of itself, such as address, labels and capacity.
    pub entry: ExecutorEntry,
    /// The incarnation that the entry describes, once known. Another one may have other labels, another
    /// capacity, or belong to another pool.
    described_incarnation: Option<Incarnation>,
    /// When the incarnation was found to have replaced a former one.
    began_at: Option<Instant>,
    /// The incarnation that has announced its shutdown.
    draining_incarnation: Option<Incarnation>,
    /// Whether and since when the platform no longer lists the executor.
    pub listing: Listing,
    /// The incarnation, once known; it changes when the executor restarts.
    pub incarnation: Option<Incarnation>,
    /// The newest clock reading, once the executor has answered in this incarnation.
    pub clock: Option<ExecutorClock>,
    /// When the last answered renewal was sent: the executor worked then, or later.
    pub worked_at: Option<Instant>,
    /// Since when renewals have had no answer.
    pub silent_since: Option<Instant>,
    /// When it became known that the process of this incarnation has ended.
    pub crashed_at: Option<Instant>,
    /// When a start was last sent. In an incarnation that is not known yet, a start begins a lease
    /// of its own.
    pub start_sent_at: Option<Instant>,
    /// When the runs here were given up because all leases had to be over. Until a report that was
    /// requested later lists no run, no lease is extended: a run that lives nevertheless, for example
    /// because the executor's clock stood still, must end with its lease.
    pub given_up_at: Option<Instant>,
    /// The number of the last run end that was applied to its job.
    pub applied_end: u64,
    /// The number of the last run end whose effect is stored. Renewals acknowledge the run ends up
    /// to this number, and the executor may then discard them.
    pub acked_end: u64,
    /// The recent failures, and the back-off that follows from them.
    pub health: Health,
    /// How fast the executor runs tasks, compared with others.
    pub speed: RelativeSpeed,
    /// Since when the tail latency of some serving task has been over its target.
    pub over_target_since: Option<Instant>,
    /// The recent processor use of fillers.
    pub filler_history: FillerHistory,
    /// When a filler was last paced.
    pub paced_at: Option<Instant>,
    /// The headroom of the serving images as of the last report.
    pub headroom: Vec<Headroom>,
    /// The executor gets no new run before this time, because a start was refused for lack of room
    /// or could not be sent.
    pub full_until: Option<Instant>,
    /// Limits new load while the executor is cold, or returns after an evacuation.
    pub ramp_up: RampUp,
    runs: BTreeMap<TaskId, RunView>,
    used: Resources,
    serving_cpu_milli: u64,
    /// The number of tasks of each serving image.
    serving_images: BTreeMap<ImageName, u32>,
    filler_cpu_milli: u64,
    /// The tasks of the isolated runs.
    isolated: BTreeSet<TaskId>,
    orders: UnboundedSender<Order>,
}

impl Executor {
    /// Creates a listed executor without runs that has not answered yet.
    pub fn new(entry: ExecutorEntry, orders: UnboundedSender<Order>) -> Self {
        Self {
            incarnation: entry.incarnation,
            described_incarnation: entry.incarnation,
            began_at: None,
            draining_incarnation: entry.incarnation.filter(|_| entry.phase.is_draining()),
            entry,
            listing: Listing::Listed,
            clock: None,
            worked_at: None,
            silent_since: None,
            crashed_at: None,
            start_sent_at: None,
            given_up_at: None,
            applied_end: 0,
            acked_end: 0,
            health: Health::default(),
            speed: RelativeSpeed::default(),
            over_target_since: None,
            filler_history: FillerHistory::default(),
            paced_at: None,
            headroom: Vec::new(),
            full_until: None,
            ramp_up: RampUp::default(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            serving_cpu_milli: 0,
            serving_images: BTreeMap::new(),
            filler_cpu_milli: 0,
            isolated: BTreeSet::new(),
            orders,
        }
    }

    /// Returns the id and the incarnation, once the incarnation is known.
    pub fn key(&self) -> Option<ExecutorKey> {
        self.incarnation.map(|incarnation| ExecutorKey {
            id: self.entry.id.clone(),
            incarnation,
        })
    }

    /// Replaces the entry. One that names no incarnation describes the one that answers.
    pub fn update_entry(&mut self, entry: ExecutorEntry) {
        self.described_incarnation = entry.incarnation.or(self.incarnation);
        self.entry = entry;
        self.update_draining();
    }

    /// Sets the incarnation that has answered first.
    pub fn identify(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.described_incarnation = self.described_incarnation.or(self.incarnation);
        self.update_draining();
    }

    fn update_draining(&mut self) {
        if self.entry.phase.is_draining() {
            self.draining_incarnation = self.described_incarnation;
        } else if self.draining_incarnation == self.described_incarnation {
            self.draining_incarnation = None;
        }
    }

    /// Switches to a later incarnation, of which nothing is known yet, and returns the runs of the former
    /// one. The entry is that of the former incarnation until the next one is read.
    pub fn begin_incarnation(
        &mut self,
        incarnation: Incarnation,
        now: Instant,
    ) -> BTreeMap<TaskId, RunView> {
        let next = Self {
            incarnation: Some(incarnation),
            described_incarnation: self.described_incarnation,
            began_at: Some(now),
            listing: self.listing,
            start_sent_at: self.start_sent_at,
            ramp_up: self.ramp_up.clone(),
            ..Self::new(self.entry.clone(), self.orders.clone())
        };
        std::mem::replace(self, next).runs
    }

    /// Returns whether the executor has answered this owner in its incarnation. Any writer can list an
    /// executor that doesn't exist.
    pub fn has_answered(&self) -> bool {
        self.worked_at.is_some()
    }

    /// Returns whether the executor has answered this owner, or holds runs of a former one: it exists.
    pub fn is_known(&self) -> bool {
        self.has_answered() || !self.runs.is_empty()
    }

    /// Returns whether the executor has left all calls of this owner without an answer, for so long that it
    /// probably doesn't exist.
    pub fn is_only_listed(&self, now: Instant) -> bool {
        let silent_since = self.silent_since.filter(|_| !self.is_known());
        silent_since.is_some_and(|since| now.duration_since(since) > FIRST_ANSWER_MAX)
    }

    /// Returns whether the entry describes the incarnation that answers.
    ///
    /// An entry that names no incarnation does so once a later one has had the time to replace it: the
    /// entry may have been read just before the restart became known.
    pub fn is_described(&self, now: Instant) -> bool {
        let is_settled = self.entry.incarnation.is_none()
            && self
                .began_at
                .is_none_or(|began_at| now.duration_since(began_at) > REGISTRATION_MAX);
        self.incarnation.is_some() && (is_settled || self.described_incarnation == self.incarnation)
    }

    /// Returns whether the incarnation that answers has announced its shutdown. The entry may be that of
    /// another one.
    pub fn is_draining(&self) -> bool {
        self.draining_incarnation.is_some() && self.draining_incarnation == self.incarnation
    }

    /// Returns all runs on the executor by task, including those that are about to start or stop.
    pub fn runs(&self) -> &BTreeMap<TaskId, RunView> {
        &self.runs
    }

    /// Returns the run of a task.
    pub fn run(&self, task: TaskId) -> Option<&RunView> {
        self.runs.get(&task)
    }

    /// Returns a run for changes to anything but its resources. The totals of this executor depend
    /// on the resources.
    pub fn run_mut(&mut self, task: TaskId, run: RunNumber) -> Option<&mut RunView> {
        self.runs.get_mut(&task).filter(|view| view.run == run)
    }

    /// Adds a run and reserves its resources, in place of an earlier run of the same task.
    pub fn add_run(&mut self, task: TaskId, view: RunView) {
        self.used = self.used.saturating_add(&view.reserved);
        self.filler_cpu_milli += view.filler_cpu_milli;
        if view.is_serving() {
            self.serving_cpu_milli += view.reserved.cpu_milli.0;
            if let Some(image) = &view.image {
                *self.serving_images.entry(image.clone()).or_default() += 1;
            }
        }
        match view.is_isolated {
            true => self.isolated.insert(task),
            false => self.isolated.remove(&task),
        };
        if let Some(replaced) = self.runs.insert(task, view) {
            self.release(&replaced);
        }
    }

    /// Removes a run and releases its resources; `None` if the task has no run of this number here.
    pub fn remove_run(&mut self, task: TaskId, run: RunNumber) -> Option<RunView> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let view = self.runs.remove(&task)?;
        self.isolated.remove(&task);
        self.release(&view);
        Some(view)
    }

    /// Removes and returns all runs, and releases their resources.
    pub fn remove_all_runs(&mut self) -> BTreeMap<TaskId, RunView> {
        self.used = Resources::default();
        self.serving_cpu_milli = 0;
        self.serving_images.clear();
        self.filler_cpu_milli = 0;
        self.isolated.clear();
        std::mem::take(&mut self.runs)
    }

    fn release(&mut self, view: &RunView) {
        self.used = self.used.saturating_sub(&view.reserved);
        self.filler_cpu_milli -= view.filler_cpu_milli;
        if view.is_serving() {
            self.serving_cpu_milli -= view.reserved.cpu_milli.0;
            if let Some(image) = &view.image
                && let Some(count) = self.serving_images.get_mut(image)
            {
                *count -= 1;
                if *count == 0 {
                    self.serving_images.remove(image);
                }
            }
        }
    }

    /// Ends the isolation of a run.
    pub fn end_isolation(&mut self, task: TaskId) {
        if self.isolated.remove(&task)
            && let Some(view) = self.runs.get_mut(&task)
        {
            view.is_isolated = false;
        }
    }

    /// Ends the isolation of the runs of other jobs.
    pub fn end_isolation_beside(&mut self, job: JobId) {
        let others = self.isolated.iter().filter(|task| task.job != job);
        for task in others.copied().collect::<Vec<_>>() {
            self.end_isolation(task);
        }
    }

    /// Returns whether an isolated run of another job keeps new runs of a job away.
    pub fn is_closed_to(&self, job: JobId) -> bool {
        self.isolated.iter().any(|task| task.job != job)
    }

    /// Returns the headroom of a serving image, once the image has been reported.
    pub fn headroom_of(&self, image: &ImageName) -> Option<&Headroom> {
        self.headroom
            .iter()
            .find(|headroom| headroom.image == *image)
    }

    /// Subtracts the extra load of a new filler from the headroom, which applies until the next
    /// report.
    ///
    /// `pressures` holds the extra load that the filler would cause with all processors, by image.
    pub fn consume_headroom(&mut self, pressures: &[(ImageName, f64)], cpu_milli: u64) {
        let share = cpu_milli as f64 / self.entry.capacity.cpu_milli.0.max(1) as f64;
        for headroom in &mut self.headroom {
            let pressure = pressures.iter().find(|(image, _)| *image == headroom.image);
            let extra = pressure.map_or(0.0, |(_, weight)| weight * share);
            headroom.at_current_load -= extra;
            headroom.at_peak_load -= extra;
        }
    }

    /// Records the shares of the processors that fillers may use from now on.
    pub fn record_filler_shares(&mut self, now: Instant) {
        let capacity_milli = self.entry.capacity.cpu_milli.0.max(1) as f64;
        let mut shares: BTreeMap<ImageName, f64> = BTreeMap::new();
        for view in self.runs.values() {
            if let (RunPhase::Running { .. }, Some(image)) = (view.phase, &view.image)
                && view.is_filler()
                && view.pace_percent > 0
            {
                let full_share = view.filler_cpu_milli as f64 / capacity_milli;
                let share = full_share * f64::from(view.pace_percent) / 100.0;
                *shares.entry(image.clone()).or_default() += share;
            }
        }
        self.filler_history.record(shares, now);
    }

    /// Returns the resources that are not reserved.
    pub fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Returns the reserved resources.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Returns the processor time that the fillers would use at full pace, in thousandths of a
    /// core.
    pub fn filler_cpu_milli(&self) -> u64 {
        self.filler_cpu_milli
    }

    /// Returns the processor time reserved by serving runs, in thousandths of a core.
    pub fn serving_cpu_milli(&self) -> u64 {
        self.serving_cpu_milli
    }

    /// Returns whether new runs may be placed here.
    ///
    /// An executor accepts none while it is gone from the list, full, draining, in a back-off, silent
    /// for longer than `silence_max`, may have runs that were given up, or has restarted since it was
    /// listed. On probation it accepts one run at a time.
    pub fn accepts_runs(&self, silence_max: Duration, now: Instant) -> bool {
        let is_heard = self
            .clock
            .is_some_and(|clock| now.duration_since(clock.seen_at()) <= silence_max);
        let is_full = self.full_until.is_some_and(|until| now < until);
        let is_probed = self.health.is_on_probation() && self.runs.values().any(RunView::is_probe);
        !self.listing.is_gone(now)
            && self.is_described(now)
            && is_heard
            && self.given_up_at.is_none()
            && !is_full
            && !self.entry.phase.is_draining()
            && !self.health.is_backing_off(now)
            && !is_probed
    }

    /// Returns whether tasks of a serving image run here.
    pub fn serves(&self, image: &ImageName) -> bool {
        self.serving_images.contains_key(image)
    }

    /// Returns the number of serving images whose tasks run here.
    pub fn serving_image_count(&self) -> usize {
        self.serving_images.len()
    }

    /// Returns the serving images whose tasks run here.
    pub fn serving_images(&self) -> impl Iterator<Item = &ImageName> {
        self.serving_images.keys()
    }

    /// Replaces the channel of orders, which ends the former session, and returns the receiving end
    /// for the next one.
    ///
    /// The former session may or may not have sent the starts without an answer so far. They are
    /// stopped, so that a report can show that the runs are gone.
    pub fn reopen_orders(&mut self, now: Instant) -> UnboundedReceiver<Order> {
        let (orders, receiver) = unbounded_channel();
        self.orders = orders;
        let ordered: Vec<(TaskId, RunNumber)> = self
            .runs
            .iter()
            .filter(|(_, view)| view.phase == RunPhase::Ordered)
            .map(|(task, view)| (*task, view.run))
            .collect();
        for (task, run) in ordered {
            self.stop(task, run, now);
        }
        receiver
    }

    /// Orders the executor to stop a run; a start that arrives after the stop is refused.
    pub fn stop(&mut self, task: TaskId, run: RunNumber, now: Instant) {
        if let Some(view) = self.run_mut(task, run) {
            view.phase = RunPhase::Stopping {
                sent_at: now,
                answered_at: None,
            };
            self.record_filler_shares(now);
        }
        self.send(Order::Stop(task, run));
    }

    /// Passes an order to the executor's session. Without a session the order is dropped.
    pub fn send(&self, order: Order) {
        // The session ends with the ownership of the cell, and pending orders end with the session.
        let _ = self.orders.send(order);
    }

    /// Returns whether all leases on the executor have expired for certain.
    pub fn is_lapsed(&self, lease: Duration, now: Instant) -> bool {
        let after = ExecutorClock::lapse_after(lease);
        let start_is_over = self.start_sent_at.is_none_or(|at| at + after <= now);
        let is_silent = self
            .clock
            .is_some_and(|clock| clock.lapsed_at(lease) <= now);
        is_silent && start_is_over
    }
}
