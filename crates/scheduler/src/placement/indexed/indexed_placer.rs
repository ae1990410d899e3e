use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::free_index::FreeIndex;
use super::round::Round;
use super::run_class::ClassKey;
use super::run_class::RunClass;
use super::tracked_run::TrackedAttempt;
use super::tracked_run::TrackedRun;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Placer;
use crate::placement::RunningAttempt;
use crate::placement::WorkerLoad;
use crate::quota::TeamUsage;

const DEFAULT_LONG_WAIT: Duration = Duration::from_secs(900);

/// Places tasks with an index of free resources.
///
/// Order: urgent tasks, then one task of each run that has waited long, then the other tasks by
/// priority. Within a priority, teams share fairly and older runs go first. Each task goes to the
/// worker with the most headroom.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedPlacer {
    pub(super) long_wait_ms: u64,
    pub(super) free: FreeIndex,
    pub(super) usage: TeamUsage,
    pub(super) runs: BTreeMap<RunId, TrackedRun>,
    /// Runs with waiting tasks, by scheduling class.
    pub(super) classes: BTreeMap<Arc<ClassKey>, RunClass>,
    /// Workers excluded from the index since the last round.
    pub(super) excluded: Vec<Arc<WorkerId>>,
    starts_observed: u64,
}

impl Default for IndexedPlacer {
    fn default() -> Self {
        Self::new(DEFAULT_LONG_WAIT)
    }
}

impl IndexedPlacer {
    /// Creates an empty placer.
    ///
    /// A run without a start for `long_wait` is reported and placed before other work that is not
    /// urgent.
    pub fn new(long_wait: Duration) -> Self {
        Self {
            long_wait_ms: long_wait.as_millis() as u64,
            free: FreeIndex::default(),
            usage: TeamUsage::default(),
            runs: BTreeMap::new(),
            classes: BTreeMap::new(),
            excluded: Vec::new(),
            starts_observed: 0,
        }
    }

    /// Returns whether both placers track the same state of the shard.
    ///
    /// The order and times of observed starts and the excluded workers are not compared.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let comparable = |placer: &Self| {
            let mut copy = placer.clone();
            copy.starts_observed = 0;
            copy.include_usable(|_| true);
            for run in copy.runs.values_mut() {
                run.waiting_since_unix_ms = 0;
                run.open
                    .values_mut()
                    .for_each(|open| open.started_order = 0);
            }
            copy.classes
                .values_mut()
                .for_each(|class| class.by_wait_start.clear());
            copy
        };
        comparable(self) == comparable(other)
    }

    /// Includes excluded workers that are usable again.
    fn include_usable(&mut self, is_usable: impl Fn(&WorkerId) -> bool) {
        let excluded = std::mem::take(&mut self.excluded);
        let (included, still_excluded) = excluded.into_iter().partition(|worker| is_usable(worker));
        self.excluded = still_excluded;
        for worker in included {
            self.free.set_excluded(&worker, false);
        }
    }

    fn refresh_worker(&mut self, state: &ShardState, worker: &WorkerId) {
        if let Some(worker_state) = state.workers().get(worker) {
            self.free
                .set(worker, worker_state.capacity, worker_state.free());
        }
    }

    /// Updates a worker that may have restarted and lost its attempts.
    fn reconcile_worker(&mut self, state: &ShardState, worker: &WorkerId) {
        if self.free.free(worker).is_some() {
            for attempt in self.open_attempts_on(worker) {
                if !state.open_attempts().contains_key(&attempt) {
                    self.remove_open_attempt(state, &attempt);
                }
            }
        }
        self.refresh_worker(state, worker);
    }

    fn open_attempts_on(&self, worker: &WorkerId) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for run in self.runs.values() {
            let on_worker = run.open.iter().filter(|(_, open)| *open.worker == *worker);
            attempts.extend(on_worker.map(|(index, open)| run.attempt_id(*index, open.number)));
        }
        attempts
    }

    fn add_run(&mut self, state: &ShardState, id: &RunId) {
        if self.runs.contains_key(id) {
            return;
        }
        let Some(run) = state.runs().get(id) else {
            return;
        };
        self.runs.insert(id.clone(), TrackedRun::new(id, run));
        self.index_run(id);
    }

    fn add_open_attempt(
        &mut self,
        state: &ShardState,
        attempt: &AttemptId,
        worker: &WorkerId,
        size: &Resources,
    ) {
        self.refresh_worker(state, worker);
        let Some(run) = self.runs.get_mut(&attempt.task.run) else {
            return;
        };
        self.starts_observed += 1;
        self.usage.add(&run.class.job.team, size);
        run.waiting.remove(&attempt.task.index);
        let open = TrackedAttempt {
            number: attempt.number,
            worker: Arc::new(worker.clone()),
            size: *size,
            started_order: self.starts_observed,
        };
        run.open.insert(attempt.task.index, open);
        self.index_run(&attempt.task.run);
    }

    fn remove_open_attempt(&mut self, state: &ShardState, attempt: &AttemptId) {
        let id = &attempt.task.run;
        let Some(tracked) = self.runs.get_mut(id) else {
            return;
        };
        let index = attempt.task.index;
        let is_open = |open: &&TrackedAttempt| open.number == attempt.number;
        let Some(open) = tracked.open.get(&index).filter(is_open).cloned() else {
            // An attempt that was declared lost before; its end may complete the task.
            self.refresh_run(state, id);
            return;
        };
        tracked.open.remove(&index);
        self.usage.remove(&tracked.class.job.team, &open.size);
        match state.runs().get(id) {
            Some(run) if run.status == RunStatus::Active => {
                tracked.refresh_task(run, attempt.task.index);
            }
            _ => tracked.waiting.clear(),
        }
        self.refresh_worker(state, &open.worker);
        self.index_run(id);
    }

    fn refresh_run(&mut self, state: &ShardState, id: &RunId) {
        if let Some(tracked) = self.runs.get_mut(id) {
            match state.runs().get(id) {
                Some(run) => tracked.refresh_waiting(run),
                None => tracked.waiting.clear(),
            }
            self.index_run(id);
        }
    }

    /// Adds the run to its class if tasks wait, and drops the run if no task waits or is open.
    fn index_run(&mut self, id: &RunId) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if run.waiting.is_empty() {
            self.remove_from_class(id);
        } else {
            let class = self.classes.entry(Arc::clone(&run.class)).or_default();
            class.by_submission.insert((run.offset, id.clone()));
            let since_unix_ms = run.waiting_since_unix_ms;
            class
                .by_wait_start
                .insert((since_unix_ms, run.offset, id.clone()));
        }
        let run = &self.runs[id];
        if run.waiting.is_empty() && run.open.is_empty() {
            self.runs.remove(id);
        }
    }

    fn remove_from_class(&mut self, id: &RunId) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let Some(class) = self.classes.get_mut(&run.class) else {
            return;
        };
        class.by_submission.remove(&(run.offset, id.clone()));
        let since_unix_ms = run.waiting_since_unix_ms;
        class
            .by_wait_start
            .remove(&(since_unix_ms, run.offset, id.clone()));
        if class.by_submission.is_empty() {
            self.classes.remove(&run.class);
        }
    }

    /// Restarts the run's wait at the time of a start.
    fn restart_wait(&mut self, id: &RunId, now_unix_ms: u64) {
        self.remove_from_class(id);
        if let Some(run) = self.runs.get_mut(id) {
            run.waiting_since_unix_ms = now_unix_ms;
        }
    }
}

impl Placer for IndexedPlacer {
    fn rebuild(&mut self, state: &ShardState) {
        *self = Self::new(Duration::from_millis(self.long_wait_ms));
        for worker in state.workers().keys() {
            self.refresh_worker(state, worker);
        }
        for (id, run) in state.runs() {
            self.runs.insert(id.clone(), TrackedRun::new(id, run));
        }
        for (attempt, open) in state.open_attempts() {
            self.add_open_attempt(state, attempt, &open.worker, &open.size);
        }
        let ids: Vec<RunId> = self.runs.keys().cloned().collect();
        for id in ids {
            self.index_run(&id);
        }
    }

    fn observe(&mut self, state: &ShardState, event: &ShardEvent, now_unix_ms: u64) {
        match event {
            ShardEvent::Worker { worker, .. } => self.reconcile_worker(state, worker),
            ShardEvent::Submit { run, .. } => self.add_run(state, run),
            ShardEvent::Start {
                attempt,
                worker,
                size,
            } => {
                self.restart_wait(&attempt.task.run, now_unix_ms);
                self.add_open_attempt(state, attempt, worker, size);
            }
            ShardEvent::End { attempt, .. } => {
                self.remove_open_attempt(state, attempt);
                let has_run_ended = state
                    .runs()
                    .get(&attempt.task.run)
                    .is_none_or(|run| run.status != RunStatus::Active);
                if has_run_ended {
                    self.refresh_run(state, &attempt.task.run);
                }
            }
            ShardEvent::Adopt { moved } => self.add_run(state, &moved.run),
            ShardEvent::Cancel { run }
            | ShardEvent::Fail { run, .. }
            | ShardEvent::Move { run, .. } => {
                self.refresh_run(state, run);
            }
            ShardEvent::Claim
            | ShardEvent::Release
            | ShardEvent::Delivered { .. }
            | ShardEvent::Overdue { .. } => {}
        }
    }

    fn propose(&mut self, context: &PlacementContext<'_>) -> Placement {
        self.include_usable(context.is_usable);
        Round::new(self, context).run()
    }

    fn worker_loads(&self) -> Vec<WorkerLoad> {
        let empty = self.free.iter().map(|(worker, free)| WorkerLoad {
            worker: WorkerId::clone(worker),
            free,
            running: Vec::new(),
        });
        let mut loads: Vec<WorkerLoad> = empty.collect();
        for run in self.runs.values() {
            for (index, open) in &run.open {
                let found = loads.binary_search_by(|load| load.worker.cmp(&open.worker));
                let Ok(position) = found else {
                    continue;
                };
                loads[position].running.push(RunningAttempt {
                    attempt: run.attempt_id(*index, open.number),
                    size: open.size,
                    priority: run.class.priority,
                    is_checkpointable: run.is_checkpointable,
                    started_order: open.started_order,
                });
            }
        }
        loads
    }
}
