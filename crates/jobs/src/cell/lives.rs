use tokio::time::Instant;

use super::CellState;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::model::Checkpoint;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::ExecutorReport;

/// Lives of executors that end and begin, and runs that follow into them.
impl CellState {
    /// Moves what was placed on an executor before the takeover to its view.
    ///
    /// Without a report, only what was placed on the life that is listed; a start for an earlier
    /// life may have been taken by a later one.
    pub(super) fn claim_unlisted(
        &mut self,
        id: &ExecutorId,
        report: Option<&ExecutorReport>,
        now: Instant,
    ) {
        let Some(current) = self.executors.get(id).and_then(Executor::key) else {
            return;
        };
        let keys: Vec<ExecutorKey> = self
            .unlisted
            .keys()
            .filter(|key| key.id == *id)
            .filter(|key| match report {
                // A later life than the known one will be known from its own reports.
                Some(_) => key.incarnation <= current.incarnation,
                None => key.incarnation == current.incarnation,
            })
            .cloned()
            .collect();
        for key in keys {
            for task in self.unlisted.remove(&key).unwrap_or_default() {
                let run = self.placed_run(&key, task);
                let is_taken =
                    run.is_some_and(|run| report.is_some_and(|report| report.lists(task, run)));
                if key == current {
                    self.restore_run(&key, task, now);
                } else if let (true, Some(run)) = (is_taken, run) {
                    self.adopt_run(&current, task, run);
                    self.restore_run(&current, task, now);
                } else {
                    self.release_restored(&key, task);
                }
            }
        }
    }

    /// Notes that an executor runs a new life.
    ///
    /// What it lists was started on it although it was meant for the former life. What may still
    /// be on its way is refused there first. Everything else is gone.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &ExecutorId,
        report: &ExecutorReport,
        asked_at: Instant,
        now: Instant,
    ) {
        let incarnation = report.incarnation;
        decided!(Decision::ExecutorRestarted, executor: id, incarnation: incarnation);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let former = executor.key();
        let views = executor.remove_all_runs();
        executor.incarnation = Some(incarnation);
        executor.clock = None;
        executor.applied_end = 0;
        executor.acked_end = 0;
        let (Some(former), Some(current)) = (former, executor.key()) else {
            return;
        };
        for (task, view) in views {
            let may_arrive = match view.phase {
                RunPhase::Ordered | RunPhase::Stopping { .. } => true,
                RunPhase::Running { since } => since > asked_at,
                RunPhase::Proposed | RunPhase::Withdrawn | RunPhase::Restored => false,
            };
            let is_listed = report.lists(task, view.run);
            if !is_listed && !may_arrive {
                self.lose_run(&former, task, view);
                continue;
            }
            let run = view.run;
            self.adopt_run(&current, task, run);
            if let Some(executor) = self.executors.get_mut(id) {
                executor.add_run(task, view);
                if !is_listed {
                    executor.stop(task, run, now);
                }
            }
        }
    }

    /// Notes that a run was taken by another life than the one that it was placed on.
    fn adopt_run(&mut self, key: &ExecutorKey, task: TaskId, run: RunNumber) {
        if let Some(job) = self.ledger.job_mut(task.job) {
            job.reassign_run(task, run, key.clone());
            self.dirty.insert(task.job);
        }
    }

    /// Returns the run of a task if its newest one is on this executor.
    fn placed_run(&self, key: &ExecutorKey, task: TaskId) -> Option<RunNumber> {
        let job = self.ledger.job(task.job)?;
        let run = job.task(task)?.run;
        job.is_placed(task, run, key).then_some(run)
    }

    fn restore_run(&mut self, key: &ExecutorKey, task: TaskId, now: Instant) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let Some(progress) = job.task(task) else {
            return;
        };
        if !job.is_placed(task, progress.run, key) {
            return;
        }
        let step = job.step(task.step);
        let view = RunView {
            checkpoint: progress.checkpoint.clone(),
            ..RunView::new(progress.run, step, RunPhase::Restored, now)
        };
        if let Some(executor) = self.executors.get_mut(&key.id) {
            executor.add_run(task, view);
        }
    }

    pub(super) fn release_restored(&mut self, key: &ExecutorKey, task: TaskId) {
        if let Some(run) = self.placed_run(key, task) {
            decided!(Decision::RunLost, task: task, run: run, executor: key, cause: "the executor is gone");
            self.release_run(key, task, run, None);
        }
    }

    pub(super) fn lose_runs(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(key) = executor.key() else {
            return;
        };
        for (task, view) in executor.remove_all_runs() {
            self.lose_run(&key, task, view);
        }
    }

    /// Gives a run up that is over for certain.
    fn lose_run(&mut self, key: &ExecutorKey, task: TaskId, view: RunView) {
        if self.release_run(key, task, view.run, view.checkpoint) {
            decided!(Decision::RunLost, task: task, run: view.run, executor: key, cause: "silent or restarted");
        }
    }

    /// Takes a run back that has ended without being done, and stops the rest of its gang; returns
    /// whether it was the task's newest run.
    pub(super) fn release_run(
        &mut self,
        key: &ExecutorKey,
        task: TaskId,
        run: RunNumber,
        checkpoint: Option<Checkpoint>,
    ) -> bool {
        let Some(job) = self.ledger.job_mut(task.job) else {
            return false;
        };
        if !job.is_placed(task, run, key) {
            return false;
        }
        job.requeue(task, checkpoint, false);
        self.dirty.insert(task.job);
        self.stop_gang(task, Instant::now());
        true
    }
}
