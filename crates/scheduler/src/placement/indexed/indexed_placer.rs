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
use super::queued_run::OpenTask;
use super::queued_run::QueuedRun;
use super::round::Round;
use super::run_class::ClassKey;
use super::run_class::RunClass;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::placement::Placer;
use crate::placement::RunningTask;
use crate::placement::WorkerLoad;
use crate::quota::TeamUsage;

const DEFAULT_LONG_WAIT: Duration = Duration::from_secs(900);

/// Places urgent work first, then one task of each run that has waited long, then by
/// priority, fairly between teams, oldest first; each on the roomiest worker.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedPlacer {
    pub(super) long_wait_ms: u64,
    pub(super) free: FreeIndex,
    pub(super) usage: TeamUsage,
    pub(super) runs: BTreeMap<RunId, QueuedRun>,
    /// The runs with waiting tasks.
    pub(super) classes: BTreeMap<Arc<ClassKey>, RunClass>,
    /// Workers that took no work in the last round.
    pub(super) unusable: Vec<Arc<WorkerId>>,
    starts_observed: u64,
}

impl Default for IndexedPlacer {
    fn default() -> Self {
        Self::new(DEFAULT_LONG_WAIT)
    }
}

impl IndexedPlacer {
    /// Creates an empty placer; a run that has started nothing for `long_wait` is listed
    /// and goes before other work that is not urgent.
    pub fn new(long_wait: Duration) -> Self {
        Self {
            long_wait_ms: long_wait.as_millis() as u64,
            free: FreeIndex::default(),
            usage: TeamUsage::default(),
            runs: BTreeMap::new(),
            classes: BTreeMap::new(),
            unusable: Vec::new(),
            starts_observed: 0,
        }
    }

    /// Returns whether both know the same of the shard; when attempts were observed and which
    /// workers took no work in the last round are left out.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let without_order = |placer: &Self| {
            let mut copy = placer.clone();
            copy.starts_observed = 0;
            copy.put_back(|_| true);
            for run in copy.runs.values_mut() {
                run.waiting_since_unix_ms = 0;
                run.open
                    .values_mut()
                    .for_each(|open| open.started_order = 0);
            }
            copy.classes
                .values_mut()
                .for_each(|class| class.by_wait.clear());
            copy
        };
        without_order(self) == without_order(other)
    }

    /// Puts workers back into the order that may take work again.
    fn put_back(&mut self, usable: impl Fn(&WorkerId) -> bool) {
        let unusable = std::mem::take(&mut self.unusable);
        let (back, out) = unusable.into_iter().partition(|worker| usable(worker));
        self.unusable = out;
        for worker in back {
            self.free.set_out(&worker, false);
        }
    }

    fn read_worker(&mut self, state: &ShardState, worker: &WorkerId) {
        if let Some(account) = state.workers().get(worker) {
            self.free.set(worker, account.capacity, account.free());
        }
    }

    /// Reads a worker that may have restarted and lost its attempts.
    fn reread_worker(&mut self, state: &ShardState, worker: &WorkerId) {
        if self.free.free(worker).is_some() {
            for attempt in self.open_attempts(worker) {
                if !state.open_attempts().contains_key(&attempt) {
                    self.remove_open(state, &attempt);
                }
            }
        }
        self.read_worker(state, worker);
    }

    fn open_attempts(&self, worker: &WorkerId) -> Vec<AttemptId> {
        let mut attempts = Vec::new();
        for run in self.runs.values() {
            let here = run.open.iter().filter(|(_, open)| *open.worker == *worker);
            attempts.extend(here.map(|(index, open)| run.attempt(*index, open.number)));
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
        self.runs.insert(id.clone(), QueuedRun::new(id, run));
        self.list_run(id);
    }

    fn add_open(
        &mut self,
        state: &ShardState,
        attempt: &AttemptId,
        worker: &WorkerId,
        size: &Resources,
    ) {
        self.read_worker(state, worker);
        let Some(run) = self.runs.get_mut(&attempt.task.run) else {
            return;
        };
        self.starts_observed += 1;
        self.usage.add(&run.class.job.team, size);
        run.waiting.remove(&attempt.task.index);
        let open = OpenTask {
            number: attempt.number,
            worker: Arc::new(worker.clone()),
            size: *size,
            started_order: self.starts_observed,
        };
        run.open.insert(attempt.task.index, open);
        self.list_run(&attempt.task.run);
    }

    fn remove_open(&mut self, state: &ShardState, attempt: &AttemptId) {
        let id = &attempt.task.run;
        let Some(queued) = self.runs.get_mut(id) else {
            return;
        };
        let Some(open) = queued.open.remove(&attempt.task.index) else {
            return;
        };
        self.usage.remove(&queued.class.job.team, &open.size);
        match state.runs().get(id) {
            Some(run) if run.status == RunStatus::Active => {
                queued.read_task(run, attempt.task.index);
            }
            _ => queued.waiting.clear(),
        }
        self.read_worker(state, &open.worker);
        self.list_run(id);
    }

    fn reread_run(&mut self, state: &ShardState, id: &RunId) {
        if let Some(queued) = self.runs.get_mut(id) {
            match state.runs().get(id) {
                Some(run) => queued.read_waiting(run),
                None => queued.waiting.clear(),
            }
            self.list_run(id);
        }
    }

    /// Lists the run if tasks wait, and drops it if none waits or runs.
    fn list_run(&mut self, id: &RunId) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if run.waiting.is_empty() {
            self.unlist_run(id);
        } else {
            let class = self.classes.entry(Arc::clone(&run.class)).or_default();
            class.by_age.insert((run.offset, id.clone()));
            let since_unix_ms = run.waiting_since_unix_ms;
            class
                .by_wait
                .insert((since_unix_ms, run.offset, id.clone()));
        }
        let run = &self.runs[id];
        if run.waiting.is_empty() && run.open.is_empty() {
            self.runs.remove(id);
        }
    }

    fn unlist_run(&mut self, id: &RunId) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let Some(class) = self.classes.get_mut(&run.class) else {
            return;
        };
        class.by_age.remove(&(run.offset, id.clone()));
        let since_unix_ms = run.waiting_since_unix_ms;
        class
            .by_wait
            .remove(&(since_unix_ms, run.offset, id.clone()));
        if class.by_age.is_empty() {
            self.classes.remove(&run.class);
        }
    }

    /// Takes note of a start, from which the run's wait counts anew.
    fn restart_wait(&mut self, id: &RunId, now_unix_ms: u64) {
        self.unlist_run(id);
        if let Some(run) = self.runs.get_mut(id) {
            run.waiting_since_unix_ms = now_unix_ms;
        }
    }
}

impl Placer for IndexedPlacer {
    fn rebuild(&mut self, state: &ShardState) {
        *self = Self::new(Duration::from_millis(self.long_wait_ms));
        for worker in state.workers().keys() {
            self.read_worker(state, worker);
        }
        for (id, run) in state.runs() {
            self.runs.insert(id.clone(), QueuedRun::new(id, run));
        }
        for (attempt, open) in state.open_attempts() {
            self.add_open(state, attempt, &open.worker, &open.size);
        }
        let ids: Vec<RunId> = self.runs.keys().cloned().collect();
        for id in ids {
            self.list_run(&id);
        }
    }

    fn observe(&mut self, state: &ShardState, event: &ShardEvent, now_unix_ms: u64) {
        match event {
            ShardEvent::Worker { worker, .. } => self.reread_worker(state, worker),
            ShardEvent::Submit { run, .. } => self.add_run(state, run),
            ShardEvent::Start {
                attempt,
                worker,
                size,
            } => {
                self.restart_wait(&attempt.task.run, now_unix_ms);
                self.add_open(state, attempt, worker, size);
            }
            ShardEvent::End { attempt, .. } => {
                self.remove_open(state, attempt);
                let has_ended = state
                    .runs()
                    .get(&attempt.task.run)
                    .is_none_or(|run| run.status != RunStatus::Active);
                if has_ended {
                    self.reread_run(state, &attempt.task.run);
                }
            }
            ShardEvent::Cancel { run } | ShardEvent::Fail { run, .. } => {
                self.reread_run(state, run);
            }
            ShardEvent::Claim | ShardEvent::Release | ShardEvent::Overdue { .. } => {}
        }
    }

    fn propose(&mut self, context: &PlacementContext<'_>) -> Placement {
        self.put_back(context.is_usable);
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
                loads[position].running.push(RunningTask {
                    attempt: run.attempt(*index, open.number),
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
