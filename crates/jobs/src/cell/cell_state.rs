use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dotterelhook_types::ids::Epoch;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

use super::CellSettings;
use super::Effect;
use super::tickets::StepTickets;
use crate::config::DeploymentConfig;
use crate::fleet::Executor;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::ledger::Job;
use crate::ledger::JobLedger;
use crate::ledger::JobProgress;
use crate::ledger::StepRef;
use crate::model::ExecutorEntry;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueConfig;
use crate::model::QueueName;
use crate::model::Submission;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::policy::FillerPacer;
use crate::policy::InterferenceAwarePlacement;
use crate::policy::InterferenceController;
use crate::policy::LeastSlackFirst;
use crate::policy::PlacementPolicy;
use crate::policy::QueuePolicy;

/// What an owner knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The job's state.
    Known(JobState),
    /// No such job was submitted, as of the owner's last read.
    NotSubmitted,
}

/// All that the owner of a cell decides on; does no input or output.
pub struct CellState {
    pub(super) settings: Arc<CellSettings>,
    pub(super) epoch: Epoch,
    pub(super) config: Arc<DeploymentConfig>,
    pub(super) ledger: JobLedger,
    pub(super) executors: BTreeMap<ExecutorId, Executor>,
    /// Jobs whose progress is not stored yet.
    pub(super) dirty: BTreeSet<JobId>,
    /// Jobs whose records are to be dropped.
    pub(super) expired: Vec<JobId>,
    pub(super) effects: Vec<Effect>,
    pub(super) order: Box<dyn QueuePolicy>,
    pub(super) placement: Box<dyn PlacementPolicy>,
    pub(super) interference: Box<dyn InterferenceController>,
    started_at: Instant,
    /// Tickets by step, for queues whose starts need them.
    pub(super) tickets: BTreeMap<(JobId, StepRef), StepTickets>,
    /// When what was learned was last stored.
    pub(super) learned_at: Option<Instant>,
    /// Since when jobs have had nothing running though a task could start.
    pub(super) idle_since: BTreeMap<JobId, Instant>,
    /// Since when tasks of steps that last have waited.
    pub(super) waits_since: BTreeMap<(JobId, StepRef), Instant>,
    /// When the leases given by former owners are over for certain.
    pub(super) former_leases_end: Instant,
    /// What was placed before the takeover on executors that have not been listed since.
    pub(super) unlisted: BTreeMap<ExecutorKey, Vec<TaskId>>,
}

impl CellState {
    /// Creates the state of a cell that was claimed now.
    pub fn new(
        settings: Arc<CellSettings>,
        epoch: Epoch,
        config: Arc<DeploymentConfig>,
        now: Instant,
    ) -> Self {
        let former_leases_end = now + settings.former_leases_max();
        Self {
            settings,
            epoch,
            config,
            ledger: JobLedger::default(),
            executors: BTreeMap::new(),
            dirty: BTreeSet::new(),
            expired: Vec::new(),
            effects: Vec::new(),
            order: Box::new(LeastSlackFirst),
            placement: Box::new(InterferenceAwarePlacement),
            interference: Box::new(FillerPacer::default()),
            started_at: now,
            tickets: BTreeMap::new(),
            learned_at: None,
            idle_since: BTreeMap::new(),
            waits_since: BTreeMap::new(),
            former_leases_end,
            unlisted: BTreeMap::new(),
        }
    }

    /// Returns the owner's generation.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Puts a configuration in force.
    pub fn apply_config(&mut self, config: Arc<DeploymentConfig>) {
        self.config = config;
    }

    /// Restores a job from its records after a takeover.
    pub fn restore(
        &mut self,
        id: JobId,
        submission: Arc<Submission>,
        progress: JobProgress,
        accepted_at: Instant,
    ) {
        match progress.outcome {
            Some(state) if progress.tasks.is_empty() => {
                self.ledger.restore_finished(id, state, accepted_at);
            }
            _ => {
                self.ledger.restore(id, submission, progress, accepted_at);
                let Some(job) = self.ledger.job(id) else {
                    return;
                };
                for (task, _, executor) in job.placed_tasks() {
                    let tasks = self.unlisted.entry(executor.clone()).or_default();
                    tasks.push(task);
                }
            }
        }
    }

    /// Takes a submission; a repeat changes nothing.
    pub fn accept(&mut self, id: JobId, submission: Arc<Submission>, now: Instant) {
        if self.ledger.accept(id, submission, now) {
            let queue = self.ledger.job(id).map(|job| &job.submission().queue.name);
            decided!(Decision::JobAccepted, job: id, queue: queue.map(QueueName::as_str).unwrap_or_default());
        }
    }

    /// Takes a cancellation and stops what runs.
    pub fn cancel(&mut self, id: JobId, now: Instant) {
        if self.ledger.cancel(id) {
            decided!(Decision::JobCancelled, job: id);
            self.dirty.insert(id);
            self.stop_job(id, now);
        }
    }

    /// Returns what a client may be told of its job.
    pub fn lookup_job_state(&self, id: JobId) -> JobLookup {
        match self.ledger.published_state(id) {
            Some(state) => JobLookup::Known(state),
            None => JobLookup::NotSubmitted,
        }
    }

    /// Returns the number of a queue's jobs that have not begun.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        self.ledger.pending_count(queue)
    }

    /// Returns the jobs of the cell.
    pub fn ledger(&self) -> &JobLedger {
        &self.ledger
    }

    /// Returns an executor of the cell.
    pub fn executor(&self, id: &ExecutorId) -> Option<&Executor> {
        self.executors.get(id)
    }

    /// Returns the executors of the cell.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.executors.values()
    }

    /// Takes what an executor tells of itself; for a new one or a new address, returns its orders.
    pub fn upsert_executor(
        &mut self,
        entry: ExecutorEntry,
        now: Instant,
    ) -> Option<UnboundedReceiver<Order>> {
        if let Some(executor) = self.executors.get_mut(&entry.id) {
            if executor.entry.phase != entry.phase {
                decided!(Decision::ExecutorPhase, executor: entry.id, phase: entry.phase);
            }
            executor.is_listed = true;
            // A new life makes itself known by its own report, which tells what it runs.
            let has_moved = executor.entry.address != entry.address;
            executor.entry = entry;
            return has_moved.then(|| executor.replace_order_channel());
        }
        let (orders, receiver) = unbounded_channel();
        decided!(Decision::ExecutorListed, executor: entry.id, domain: entry.failure_domain);
        let id = entry.id.clone();
        let executor = Executor::new(entry, orders);
        self.executors.insert(id.clone(), executor);
        self.claim_unlisted(&id, None, now);
        Some(receiver)
    }

    /// Notes that the platform lists an executor no more.
    pub fn mark_executor_unlisted(&mut self, id: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(id)
            && executor.is_listed
        {
            decided!(Decision::ExecutorUnlisted, executor: id);
            executor.is_listed = false;
        }
    }

    /// Returns the time since this owner began, for policies.
    pub(super) fn steady_ms(&self, now: Instant) -> u64 {
        now.duration_since(self.started_at).as_millis() as u64
    }

    /// Returns what the queue of a job grants now, or granted when it was dropped.
    pub(super) fn terms_of(config: &DeploymentConfig, job: &Job) -> Arc<QueueConfig> {
        let accepted = &job.submission().queue;
        match config.queue(&accepted.name) {
            Some(terms) => Arc::clone(terms),
            None => Arc::new(accepted.clone()),
        }
    }

    /// Stops everything of a job that runs.
    pub(super) fn stop_job(&mut self, id: JobId, now: Instant) {
        let Some(job) = self.ledger.job(id) else {
            return;
        };
        let placed: Vec<(TaskId, ExecutorKey)> = job
            .placed_tasks()
            .map(|(task, _, executor)| (task, executor.clone()))
            .collect();
        for (task, executor) in placed {
            self.stop_run(&executor, task, now);
        }
    }

    /// Tells an executor to stop a run, unless its start has not been ordered.
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
