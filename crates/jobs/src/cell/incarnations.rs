use tokio::time::Instant;

use super::CellState;
use super::executor_crashes::CrashEvidence;
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

/// Executor restarts, runs that cross them, and the loss of runs.
impl CellState {
    /// Restores the runs that former owners placed on an executor.
    ///
    /// Without a report, restores only the runs on the listed incarnation. A start for an earlier
    /// incarnation may have been accepted by a later one, and only a report can tell.
    pub(super) fn restore_unlisted_runs(
        &mut self,
        id: &ExecutorId,
        report: Option<&ExecutorReport>,
        now: Instant,
    ) {
        let Some(current) = self.executors.get(id).and_then(Executor::key) else {
            return;
        };
        let keys: Vec<ExecutorKey> = self
            .unlisted_placements
            .keys()
            .filter(|key| key.id == *id)
            .filter(|key| match report {
                // Runs on a later incarnation wait for the first report of that incarnation.
                Some(_) => key.incarnation <= current.incarnation,
                None => key.incarnation == current.incarnation,
            })
            .cloned()
            .collect();
        for key in keys {
            for task in self.unlisted_placements.remove(&key).unwrap_or_default() {
                let run = self.placed_run(&key, task);
                let is_accepted = run.is_some_and(|run| {
                    report.is_some_and(|report| report.may_have_accepted(task, run))
                });
                if key != current {
                    self.record_lost_placement(&key, task, report.is_some(), now);
                }
                if key == current {
                    self.restore_run(&key, task, now);
                } else if let (true, Some(run)) = (is_accepted, run) {
                    self.adopt_run(&current, task, run);
                    self.restore_run(&current, task, now);
                } else {
                    self.declare_placement_lost(&key, task, now);
                }
            }
        }
    }

    /// Switches an executor to a new incarnation.
    ///
    /// A listed run was started there although its start was meant for the previous incarnation;
    /// the new incarnation adopts the run. A start that may still arrive is stopped first, so that
    /// the executor refuses it. All other runs are lost.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &ExecutorId,
        report: &ExecutorReport,
        requested_at: Instant,
        now: Instant,
    ) {
        let incarnation = report.incarnation;
        self.record_executor_crash(id, CrashEvidence::Restarted, now);
        decided!(Decision::ExecutorRestarted, executor: id, incarnation: incarnation);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let previous = executor.key();
        let views = executor.begin_incarnation(incarnation, now);
        let (Some(previous), Some(current)) = (previous, executor.key()) else {
            return;
        };
        for (task, view) in views {
            let may_arrive = match view.phase {
                RunPhase::Ordered | RunPhase::Stopping { .. } => true,
                RunPhase::Running { since } => since > requested_at,
                RunPhase::Proposed | RunPhase::Withdrawn | RunPhase::Restored => false,
            };
            let is_accepted = report.may_have_accepted(task, view.run);
            if !is_accepted && !may_arrive {
                self.declare_run_lost(&previous, task, view, "the executor restarted", now);
                continue;
            }
            let run = view.run;
            self.adopt_run(&current, task, run);
            if let Some(executor) = self.executors.get_mut(id) {
                executor.add_run(task, view);
                if !is_accepted {
                    executor.stop(task, run, now);
                }
            }
        }
    }

    /// Records that another incarnation than the intended one accepted a run.
    fn adopt_run(&mut self, key: &ExecutorKey, task: TaskId, run: RunNumber) {
        if let Some(job) = self.ledger.job_mut(task.job) {
            job.reassign_run(task, run, key.clone());
            self.dirty.insert(task.job);
        }
    }

    /// Returns the newest run of a task if it is placed on this executor.
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
        let is_isolated = self.was_isolated(task, key);
        let view = RunView {
            is_isolated,
            checkpoint: progress.checkpoint.clone(),
            placed_at: None,
            ..RunView::new(progress.run, step, RunPhase::Restored, now)
        };
        if let Some(executor) = self.executors.get_mut(&key.id) {
            executor.add_run(task, view);
        }
    }

    pub(super) fn declare_placement_lost(&mut self, key: &ExecutorKey, task: TaskId, now: Instant) {
        if let Some(run) = self.placed_run(key, task) {
            decided!(Decision::RunLost, task: task, run: run, executor: key, cause: "the executor incarnation is gone");
            self.requeue_run(key, task, run, None, now);
        }
    }

    pub(super) fn declare_runs_lost(&mut self, id: &ExecutorId, cause: &str, now: Instant) {
        let Some(key) = self.executors.get(id).and_then(Executor::key) else {
            return;
        };
        self.record_executor_loss(id, None, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        for (task, view) in executor.remove_all_runs() {
            self.declare_run_lost(&key, task, view, cause, now);
        }
    }

    /// Requeues the task of a run that has certainly ended, with the last known checkpoint.
    fn declare_run_lost(
        &mut self,
        key: &ExecutorKey,
        task: TaskId,
        view: RunView,
        cause: &str,
        now: Instant,
    ) {
        let age_ms = view.age(now).as_millis();
        let (run, checkpoint) = (view.run, view.checkpoint);
        if self.requeue_run(key, task, run, checkpoint, now) {
            decided!(Decision::RunLost, task: task, run: run, executor: key, cause: cause, age_ms: age_ms);
        }
    }

    /// Requeues the task of a run that did not complete, and stops the rest of its gang.
    ///
    /// Returns whether the run was the newest one of its task.
    pub(super) fn requeue_run(
        &mut self,
        key: &ExecutorKey,
        task: TaskId,
        run: RunNumber,
        checkpoint: Option<Checkpoint>,
        now: Instant,
    ) -> bool {
        let Some(job) = self.ledger.job_mut(task.job) else {
            return false;
        };
        if !job.is_placed(task, run, key) {
            return false;
        }
        job.requeue_lost(task, checkpoint);
        self.dirty.insert(task.job);
        self.stop_task_and_gang(task, now);
        true
    }
}
