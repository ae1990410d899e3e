use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::AttemptEnd;
use super::OpenAttempt;
use super::Run;
use super::RunStatus;
use super::ShardRefusal;
use super::ShardState;
use super::TaskState;

/// A task fails its run after `attempts_max` times this many failures even if all of them are on
/// one worker. Below that, the worker may be at fault rather than the task.
const SAME_WORKER_LIMIT_FACTOR: u32 = 3;

/// Failure counters of a task, including the failure that was just counted.
struct TaskFailures {
    failures: u32,
    workers: usize,
}

impl ShardState {
    /// Opens a task's next attempt on a worker with enough free resources.
    pub(super) fn start_attempt(
        &mut self,
        offset: Offset,
        attempt: AttemptId,
        worker: WorkerId,
        size: Resources,
    ) -> Result<(), ShardRefusal> {
        let worker_state = self
            .workers
            .get_mut(&worker)
            .ok_or(ShardRefusal::UnknownWorker)?;
        let run = self
            .runs
            .get_mut(&attempt.task.run)
            .ok_or(ShardRefusal::UnknownRun)?;
        if run.status != RunStatus::Active {
            return Err(ShardRefusal::RunEnded);
        }
        let task = run.tasks.get(attempt.task.index as usize);
        let Some(TaskState::Waiting {
            attempts,
            failures,
            checkpoint,
        }) = task
        else {
            return Err(ShardRefusal::NotNextAttempt);
        };
        if attempt.number != *attempts + 1 {
            return Err(ShardRefusal::NotNextAttempt);
        }
        if !size.fits_in(&worker_state.free()) {
            return Err(ShardRefusal::WorkerFull);
        }
        if worker_state.is_quarantined() && !worker_state.open.is_empty() {
            return Err(ShardRefusal::Quarantined);
        }
        let opened = TaskState::Open {
            number: attempt.number,
            failures: *failures,
            checkpoint: checkpoint.clone(),
            worker: worker.clone(),
        };
        run.set_task(attempt.task.index, opened);
        worker_state.reserve(attempt.clone(), &size);
        let incarnation = worker_state.incarnation;
        let open = OpenAttempt {
            worker,
            incarnation,
            size,
            offset,
        };
        self.open.insert(attempt, open);
        Ok(())
    }

    /// Ends an open attempt and releases its resources on the worker.
    pub(super) fn end_attempt(
        &mut self,
        attempt: &AttemptId,
        end: AttemptEnd,
    ) -> Result<(), ShardRefusal> {
        let open = self.open.remove(attempt).ok_or(ShardRefusal::NotOpen)?;
        let failures = self.release_and_count_failure(attempt, &open, &end);
        let workers_known = self.workers.len();
        let id = &attempt.task.run;
        let Some(run) = self.runs.get_mut(id) else {
            return Ok(());
        };
        let attempts_max = run.spec.settings.attempts_max;
        let is_final = failures.as_ref().is_some_and(|counted| {
            let is_worker_ruled_out = counted.workers >= 2 || workers_known < 2;
            let is_over_same_worker_limit =
                counted.failures >= attempts_max * SAME_WORKER_LIMIT_FACTOR;
            is_over_same_worker_limit || (is_worker_ruled_out && counted.failures >= attempts_max)
        });
        let is_active = run.status == RunStatus::Active;
        let is_done = is_active && end == AttemptEnd::Succeeded;
        let next = next_task_state(run, attempt, &end, failures.as_ref(), is_final);
        run.set_task(attempt.task.index, next);
        run.done += u32::from(is_done);
        let is_complete = run.done == run.spec.settings.tasks;
        match end {
            AttemptEnd::Failed { cause } if is_active && is_final => {
                let cause = format!("task {}: {cause}", attempt.task.index);
                self.end_run(id, RunStatus::Failed, Some(cause.into()));
            }
            _ if is_active && is_complete => self.end_run(id, RunStatus::Complete, None),
            _ => self.close_if_ended(id),
        }
        Ok(())
    }

    /// Ends all open attempts of a worker as lost, because the worker restarted.
    pub(super) fn end_lost_attempts(&mut self, worker: &WorkerId) {
        let Some(worker_state) = self.workers.get(worker) else {
            return;
        };
        for attempt in worker_state.open.clone() {
            // Can't fail: every attempt recorded for a worker is open.
            let _ = self.end_attempt(&attempt, AttemptEnd::Lost);
        }
    }

    /// Releases the attempt's resources and counts a failure against the worker and, unless the
    /// worker is quarantined, against the task.
    fn release_and_count_failure(
        &mut self,
        attempt: &AttemptId,
        open: &OpenAttempt,
        end: &AttemptEnd,
    ) -> Option<TaskFailures> {
        let worker_state = self.workers.get_mut(&open.worker)?;
        worker_state.release(attempt, &open.size);
        let run = self.runs.get_mut(&attempt.task.run)?;
        match end {
            AttemptEnd::Succeeded => {
                worker_state.failed_jobs.clear();
                return None;
            }
            AttemptEnd::Failed { .. } => {}
            _ => return None,
        }
        worker_state.count_failure(&run.spec.team, &run.spec.job);
        if worker_state.is_quarantined() {
            return None;
        }
        let failed_on = run.failed_on.entry(attempt.task.index).or_default();
        failed_on.insert(open.worker.clone());
        let workers = failed_on.len();
        let Some(TaskState::Open { failures, .. }) = run.tasks.get(attempt.task.index as usize)
        else {
            return None;
        };
        Some(TaskFailures {
            failures: failures + 1,
            workers,
        })
    }
}

/// Returns the state of a task after its attempt ended. `counted` is given if the end counts as a
/// failure of the task.
fn next_task_state(
    run: &Run,
    attempt: &AttemptId,
    end: &AttemptEnd,
    counted: Option<&TaskFailures>,
    is_final: bool,
) -> TaskState {
    let task = run.tasks.get(attempt.task.index as usize);
    let Some(TaskState::Open {
        failures,
        checkpoint,
        ..
    }) = task
    else {
        return TaskState::Ended;
    };
    let waiting = |failures: u32, checkpoint: Option<Box<str>>| TaskState::Waiting {
        attempts: attempt.number,
        failures,
        checkpoint,
    };
    match end {
        _ if run.status != RunStatus::Active => TaskState::Ended,
        AttemptEnd::Succeeded => TaskState::Done,
        AttemptEnd::Cancelled => TaskState::Ended,
        AttemptEnd::Lost => waiting(*failures, checkpoint.clone()),
        AttemptEnd::Evicted { checkpoint: newer } => {
            waiting(*failures, newer.clone().or_else(|| checkpoint.clone()))
        }
        AttemptEnd::Failed { .. } if is_final => TaskState::Ended,
        AttemptEnd::Failed { .. } => {
            let failures = counted.map_or(*failures, |counted| counted.failures);
            waiting(failures, checkpoint.clone())
        }
    }
}
