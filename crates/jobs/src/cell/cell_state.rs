use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use dotterelhook_types::ids::Epoch;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

use super::CellSettings;
use super::Effect;
use super::departures::Departure;
use super::job_records::part_deletion;
use super::placement_waits::PlacementWaits;
use super::recent_losses::RecentLosses;
use super::tickets::StepTickets;
use crate::config::DeploymentConfig;
use crate::evacuation::ViewSnapshot;
use crate::fleet::Executor;
use crate::fleet::Listing;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::ledger::Job;
use crate::ledger::JobLedger;
use crate::ledger::JobProgress;
use crate::ledger::StepRef;
use crate::ledger::StoredProgress;
use crate::model::ExecutorEntry;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueConfig;
use crate::model::QueueName;
use crate::model::RunNumber;
use crate::model::ServiceId;
use crate::model::Submission;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::JobMetrics;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::policy::FillerPacer;
use crate::policy::InterferenceAwarePlacement;
use crate::policy::InterferenceController;
use crate::policy::LeastSlackFirst;
use crate::policy::PlacementPolicy;
use crate::policy::QueuePolicy;
use crate::policy::QueueShares;
use crate::policy::RunTimeRatios;
use crate::policy::StepRunTimes;

/// The result of a job look-up at the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The state that clients may see.
    Known(JobState),
    /// The submissions that the owner has read contain no such job.
    NotSubmitted,
}

/// The state machine of a cell's owner.
///
/// Handles submissions, reports and answers, places tasks, and emits records, effects and orders.
/// Performs no input or output itself.
pub struct CellState {
    pub(super) settings: Arc<CellSettings>,
    pub(super) epoch: Epoch,
    pub(super) config: Arc<DeploymentConfig>,
    /// What the owner knows of the operators' requests.
    pub(super) operator_view: ViewSnapshot,
    /// When the set of evacuations last changed for this owner.
    pub(super) evacuations_changed_at: Option<Instant>,
    /// The runs that this owner stopped so that they leave an evacuated failure domain.
    pub(super) evacuation_stops: u64,
    /// The runs that this owner stopped because their start had no answer when an evacuation began.
    pub(super) held_back_starts: u64,
    /// The runs placed on each pool by this owner.
    pub(super) pool_starts: BTreeMap<ServiceId, u64>,
    /// The executors of each pool.
    pub(super) pool_sizes: BTreeMap<ServiceId, u64>,
    /// The tasks whose runs leave an evacuated failure domain.
    pub(super) departures: BTreeMap<TaskId, Departure>,
    /// The run in an evacuated failure domain for which a place was searched last.
    pub(super) last_considered: Option<(ExecutorId, TaskId)>,
    pub(super) ledger: JobLedger,
    pub(super) executors: BTreeMap<ExecutorId, Executor>,
    /// Jobs whose current progress is not stored yet.
    pub(super) dirty: BTreeSet<JobId>,
    /// Expired jobs whose progress records are to be deleted.
    pub(super) progress_to_delete: Vec<JobId>,
    /// The deletions of records that a former owner could not delete.
    pub(super) leftovers: Vec<KeyedRecord>,
    pub(super) effects: Vec<Effect>,
    pub(super) queue_policy: Box<dyn QueuePolicy>,
    pub(super) placement: Box<dyn PlacementPolicy>,
    pub(super) interference: Box<dyn InterferenceController>,
    /// The shares of the capacity that parts of each queue take.
    pub(super) shares: QueueShares,
    /// The queues whose shares a former owner observed.
    pub(super) restored_shares: BTreeSet<QueueName>,
    /// The run times of queues in relation to their estimates.
    pub(super) run_times: RunTimeRatios,
    /// The run times of the steps of active jobs.
    pub(super) step_run_times: StepRunTimes,
    pub(super) started_at: Instant,
    /// Tickets by step, for queues with an approval service.
    pub(super) tickets: BTreeMap<(JobId, StepRef), StepTickets>,
    /// The time at which the learned loads were last stored.
    pub(super) learned_stored_at: Option<Instant>,
    /// The time since which a job has had ready steps but no placed task.
    pub(super) idle_since: BTreeMap<JobId, Instant>,
    /// The time since which a long-running step has had waiting tasks.
    pub(super) waiting_since: BTreeMap<(JobId, StepRef), Instant>,
    /// The time at which all leases of former owners have expired.
    pub(super) former_leases_end: Instant,
    /// The send time of the last append that the store accepted: no later owner existed then.
    pub(super) confirmed_at: Instant,
    /// Runs that a later owner may have started, and when a report first listed them.
    pub(super) foreign_runs: BTreeMap<(TaskId, RunNumber), Instant>,
    /// Tasks placed by former owners on executors that have not been listed since the takeover.
    pub(super) unlisted_placements: BTreeMap<ExecutorKey, Vec<TaskId>>,
    /// The executors that were lost lately.
    pub(super) recent_losses: RecentLosses,
    /// The time since which a task has waited for an executor on which it can be isolated.
    pub(super) isolation_waits: BTreeMap<TaskId, Instant>,
    /// The waits for preferred placements.
    pub(super) placement_waits: PlacementWaits,
    pub(super) metrics: JobMetrics,
}

impl CellState {
    /// Creates the state of a cell that this host has just claimed.
    pub fn new(
        settings: Arc<CellSettings>,
        epoch: Epoch,
        config: Arc<DeploymentConfig>,
        now: Instant,
    ) -> Self {
        let former_leases_end = now + settings.former_lease_lifetime_max();
        Self {
            settings,
            epoch,
            config,
            operator_view: ViewSnapshot::default(),
            evacuations_changed_at: None,
            evacuation_stops: 0,
            held_back_starts: 0,
            pool_starts: BTreeMap::new(),
            pool_sizes: BTreeMap::new(),
            departures: BTreeMap::new(),
            last_considered: None,
            ledger: JobLedger::default(),
            executors: BTreeMap::new(),
            dirty: BTreeSet::new(),
            progress_to_delete: Vec::new(),
            leftovers: Vec::new(),
            effects: Vec::new(),
            queue_policy: Box::new(LeastSlackFirst),
            placement: Box::new(InterferenceAwarePlacement),
            interference: Box::new(FillerPacer::default()),
            shares: QueueShares::default(),
            restored_shares: BTreeSet::new(),
            run_times: RunTimeRatios::default(),
            step_run_times: StepRunTimes::default(),
            started_at: now,
            tickets: BTreeMap::new(),
            learned_stored_at: None,
            idle_since: BTreeMap::new(),
            waiting_since: BTreeMap::new(),
            former_leases_end,
            confirmed_at: now,
            foreign_runs: BTreeMap::new(),
            unlisted_placements: BTreeMap::new(),
            recent_losses: RecentLosses::default(),
            isolation_waits: BTreeMap::new(),
            placement_waits: PlacementWaits::default(),
            metrics: JobMetrics::default(),
        }
    }

    /// Counts in the given metrics instead of own ones.
    pub fn with_metrics(self, metrics: JobMetrics) -> Self {
        Self { metrics, ..self }
    }

    /// Returns the owner's epoch, the fencing token of its orders.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies a new version of the configuration.
    pub fn apply_config(&mut self, config: Arc<DeploymentConfig>) {
        self.config = config;
    }

    /// Restores a job from its records after a takeover.
    ///
    /// The retention of a finished job counts from `now`, because its record does not tell when the
    /// job ended.
    pub fn restore(
        &mut self,
        id: JobId,
        submission: Arc<Submission>,
        progress: JobProgress,
        accepted_at: Instant,
        now: Instant,
    ) {
        match progress.outcome {
            Some(state) if progress.tasks.is_empty() => {
                self.ledger.finalize(id, state, now);
                self.ledger.publish_state(id, state);
            }
            _ => {
                if self.ledger.restore(id, submission, progress, accepted_at) {
                    self.record_restored(id, now);
                }
                let Some(job) = self.ledger.job(id) else {
                    return;
                };
                for (task, _, executor) in job.placed_tasks() {
                    let tasks = self
                        .unlisted_placements
                        .entry(executor.clone())
                        .or_default();
                    tasks.push(task);
                }
            }
        }
    }

    /// Restores a job from all records of its progress after a takeover.
    pub fn restore_stored(
        &mut self,
        id: JobId,
        submission: Arc<Submission>,
        stored: StoredProgress,
        accepted_at: Instant,
        now: Instant,
    ) {
        let further_parts: Vec<usize> = stored.further_parts().collect();
        let is_finished = stored.is_finished();
        let task_count = submission.spec.all_task_count() as usize;
        let progress = stored.into_progress(task_count);
        self.restore(id, submission, progress, accepted_at, now);
        if further_parts.is_empty() {
            return;
        }
        match self.ledger.job_mut(id) {
            Some(job) if !is_finished => job.split_progress(),
            _ => self.delete_parts(id, further_parts),
        }
    }

    /// Schedules the deletion of parts of a progress that no job needs any more.
    pub fn delete_parts(&mut self, id: JobId, parts: impl IntoIterator<Item = usize>) {
        let deletions = parts.into_iter().map(|part| part_deletion(part, id));
        self.leftovers.extend(deletions);
    }

    /// Adds a submitted job. Idempotent: a known job stays as it is.
    pub fn accept(&mut self, id: JobId, submission: Arc<Submission>, now: Instant) {
        if self.ledger.accept(id, submission, now) {
            self.record_arrival(id, now);
            let queue = self.ledger.job(id).map(|job| &job.submission().queue.name);
            decided!(Decision::JobAccepted, job: id, queue: queue.map(QueueName::as_str).unwrap_or_default());
        }
    }

    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, id: JobId, now: Instant) {
        if self.ledger.cancel(id, now) {
            decided!(Decision::JobCancelled, job: id);
            self.dirty.insert(id);
            self.stop_job(id, now);
        }
    }

    /// Returns the state of a job that clients may see.
    pub fn lookup_job_state(&self, id: JobId) -> JobLookup {
        match self.ledger.published_state(id) {
            Some(state) => JobLookup::Known(state),
            None => JobLookup::NotSubmitted,
        }
    }

    /// Returns the number of a queue's jobs without a started task.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        self.ledger.pending_count(queue)
    }

    /// Returns the active and finished jobs of the cell.
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// Returns an executor of the cell by its id.
    pub fn executor(&self, id: &ExecutorId) -> Option<&Executor> {
        self.executors.get(id)
    }

    /// Returns the executors of the cell in the order of their ids.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.executors.values()
    }

    /// Adds an executor that the platform lists, or updates its entry.
    ///
    /// For a new executor or a new address, returns the receiver of its orders.
    pub fn upsert_executor(
        &mut self,
        entry: ExecutorEntry,
        now: Instant,
    ) -> Option<UnboundedReceiver<Order>> {
        let pool_starts = self.pool_starts.get(&entry.service).copied().unwrap_or(0);
        let cold_left = entry.cold_left;
        if let Some(executor) = self.executors.get_mut(&entry.id) {
            let is_new = executor.entry.incarnation != entry.incarnation;
            let ramp_up = &mut executor.ramp_up;
            ramp_up.update_cold(cold_left, is_new, pool_starts, now);
            if executor.entry.phase != entry.phase {
                decided!(Decision::ExecutorPhase, executor: entry.id, phase: entry.phase);
            }
            executor.listing = Listing::Listed;
            // A new incarnation takes effect with its first report, which lists its runs.
            let has_new_address = executor.entry.address != entry.address;
            executor.update_entry(entry);
            return has_new_address.then(|| executor.reopen_orders(now));
        }
        let (orders, receiver) = unbounded_channel();
        decided!(Decision::ExecutorListed, executor: entry.id, domain: entry.failure_domain);
        let id = entry.id.clone();
        let mut executor = Executor::new(entry, orders);
        let ramp_up = &mut executor.ramp_up;
        ramp_up.update_cold(cold_left, true, pool_starts, now);
        self.executors.insert(id.clone(), executor);
        self.restore_unlisted_runs(&id, None, now);
        Some(receiver)
    }

    /// Returns the receiver of an executor's orders for another session at the same address, or `None`
    /// if the executor has left or has another address.
    pub fn reopen_orders(
        &mut self,
        id: &ExecutorId,
        address: SocketAddr,
        now: Instant,
    ) -> Option<UnboundedReceiver<Order>> {
        let executor = self.executors.get_mut(id)?;
        (executor.entry.address == address).then(|| executor.reopen_orders(now))
    }

    /// Marks an executor whose entry is missing. While it answers, it receives new runs until it
    /// counts as gone.
    pub fn mark_executor_missing(&mut self, id: &ExecutorId, now: Instant) {
        self.set_listing(id, Listing::Missing { since: now });
    }

    /// Marks an executor whose entry can't be read. It receives no new runs.
    pub fn mark_executor_unreadable(&mut self, id: &ExecutorId) {
        self.set_listing(id, Listing::Unreadable);
    }

    fn set_listing(&mut self, id: &ExecutorId, listing: Listing) {
        if let Some(executor) = self.executors.get_mut(id)
            && executor.listing == Listing::Listed
        {
            decided!(Decision::ExecutorUnlisted, executor: id);
            executor.listing = listing;
        }
    }

    /// Returns the time since this owner claimed the cell, in milliseconds, as the steady clock of
    /// the policies.
    pub(super) fn elapsed_ms(&self, now: Instant) -> u64 {
        now.duration_since(self.started_at).as_millis() as u64
    }

    /// Returns the current configuration of a job's queue. For a removed queue, returns the one at
    /// the job's acceptance.
    pub(super) fn queue_config(config: &DeploymentConfig, job: &Job) -> Arc<QueueConfig> {
        let accepted = &job.submission().queue;
        match config.queue(&accepted.name) {
            Some(current) => Arc::clone(current),
            None => Arc::new(accepted.clone()),
        }
    }

    /// Stops all placed tasks of a job.
    pub(super) fn stop_job(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.ledger.job(id) else {
            return;
        };
        let runs: Vec<(TaskId, ExecutorKey)> = job
            .placed_tasks()
            .map(|(task, _, executor)| (task, executor.clone()))
            .collect();
        for (task, executor) in runs {
            self.stop_run(&executor, task, now);
        }
    }

    /// Sends the stop of a run to its executor, or withdraws the run if its start was not sent.
    pub(super) fn stop_run(&mut self, key: &ExecutorKey, task: TaskId, now: Instant) {
        let Some(executor) = self.executors.get_mut(&key.id) else {
            return;
        };
        let Some(view) = executor.run(task) else {
            return;
        };
        let run = view.run;
        match view.phase {
            RunPhase::Proposed => {
                if let Some(view) = executor.run_mut(task, run) {
                    view.phase = RunPhase::Withdrawn;
                }
            }
            RunPhase::Withdrawn | RunPhase::Stopping { .. } => {}
            _ => executor.stop(task, run, now),
        }
    }
}
