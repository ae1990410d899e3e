use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::planning::StepSearch;
use super::scored_executor::ScoredExecutor;
use crate::fleet::Executor;
use crate::ledger::TaskCrashes;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::TaskId;

/// The time after its start at which a run is no longer a likely cause of a crash.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// How lately an executor must have answered before a run is isolated there. It may have crashed since,
/// before the run starts.
const HEARD_WITHIN: Duration = Duration::from_millis(250);
/// The longest isolation of a run. Meanwhile the executor accepts no new runs of other jobs.
pub(super) const ISOLATION_MAX: Duration = Duration::from_secs(2);
/// The longest wait of a task for an executor on which it can be isolated. The requirements allow 3 s
/// until a task starts.
const ISOLATION_WAIT_MAX: Duration = Duration::from_secs(2);
/// Limits the searches of one step and round for isolated tasks, each of which scores all executors.
const ISOLATED_PER_ROUND_MAX: usize = 16;
/// Penalty of an executor whose processors are all reserved: a crash there loses the most work. Below
/// the bonus of the rack that holds a step's data.
const STAKE_PENALTY: f64 = 4.0;

/// Isolation of tasks under which executors were lost.
///
/// No run of another job starts beside an isolated one, and an isolated one starts only where all other
/// runs have settled. If the executor crashes then, the isolated run is the likely cause. Long-running
/// tasks that have waited for long start nevertheless, which ends the isolation.
impl CellState {
    /// Returns whether so many executors were lost under a task that it starts only in isolation.
    pub(super) fn needs_isolation(&self, task: TaskId) -> bool {
        self.crashes_of(task)
            .is_some_and(|crashes| crashes.facts().needs_isolation())
    }

    /// Returns whether a run of a former owner was isolated: executors had been lost under its task
    /// before it was placed.
    pub(super) fn was_isolated(&self, task: TaskId, executor: &ExecutorKey) -> bool {
        self.crashes_of(task)
            .is_some_and(|crashes| crashes.without(executor).facts().needs_isolation())
    }

    pub(super) fn crashes_of(&self, task: TaskId) -> Option<&TaskCrashes> {
        self.ledger.job(task.job)?.crash_history().task(task)
    }

    /// Returns whether a task must wait for an executor on which it can be isolated.
    pub(super) fn must_isolate_now(&self, task: TaskId, now: Instant) -> bool {
        let since = self.isolation_waits.get(&task);
        let has_waited = since.is_some_and(|at| now.duration_since(*at) >= ISOLATION_WAIT_MAX);
        self.needs_isolation(task) && !has_waited
    }

    /// Places tasks in isolation and returns how many were placed.
    pub(super) fn place_isolated(
        &mut self,
        search: &StepSearch<'_>,
        tasks: &[TaskId],
        limit: usize,
        now: Instant,
    ) -> usize {
        let search = StepSearch {
            isolates: true,
            ..*search
        };
        let mut placed = 0;
        for task in tasks.iter().take(limit.min(ISOLATED_PER_ROUND_MAX)) {
            match self.score_executors(&search, now).pop() {
                Some(ScoredExecutor { executor, .. }) => {
                    placed += usize::from(self.place_task(search.step, *task, &executor, now));
                }
                None => _ = self.isolation_waits.entry(*task).or_insert(now),
            }
        }
        placed
    }

    /// Records from when on the tasks of a gang that has no place wait for isolation.
    pub(super) fn note_isolation_waits(&mut self, tasks: &[TaskId], now: Instant) {
        for task in tasks {
            if self.needs_isolation(*task) {
                self.isolation_waits.entry(*task).or_insert(now);
            }
        }
    }

    /// Returns the penalty of an executor for isolated tasks, or `None` if they can't be isolated
    /// there. Other tasks have no penalty.
    pub(super) fn isolation_penalty(
        &self,
        search: &StepSearch<'_>,
        executor: &Executor,
        now: Instant,
    ) -> Option<f64> {
        if !search.isolates {
            return Some(0.0);
        }
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        let reserved_share = executor.used().cpu_milli.0 as f64 / capacity_milli;
        let may_isolate = has_only_settled_others(search.job, executor, now);
        may_isolate.then_some(STAKE_PENALTY * reserved_share)
    }

    /// Returns whether a run of the task on an executor would be isolated.
    pub(super) fn isolates_on(&self, task: TaskId, id: &ExecutorId, now: Instant) -> bool {
        let executor = self.executors.get(id);
        executor.is_some_and(|executor| has_only_settled_others(task.job, executor, now))
    }

    /// Forgets the waits of tasks that need no isolation any more.
    pub(super) fn end_isolation_waits(&mut self) {
        let waits = std::mem::take(&mut self.isolation_waits);
        let kept = waits
            .into_iter()
            .filter(|(task, _)| self.ledger.is_open(task.job) && self.needs_isolation(*task));
        self.isolation_waits = kept.collect();
    }
}

/// Returns whether an executor is heard, and had run the runs of other jobs for a while when it was.
fn has_only_settled_others(job: JobId, executor: &Executor, now: Instant) -> bool {
    let Some(heard_at) = executor.clock.map(|clock| clock.seen_at()) else {
        return false;
    };
    let is_heard = executor.silent_since.is_none() && now.duration_since(heard_at) <= HEARD_WITHIN;
    let mut others = executor.runs().iter().filter(|(task, _)| task.job != job);
    is_heard && others.all(|(_, view)| view.had_settled(SETTLE_TIME, heard_at))
}
