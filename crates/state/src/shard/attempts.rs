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

/// A task that failed so many times its limit fails its run, even on one worker.
const SAME_WORKER_FACTOR: u32 = 3;

/// A failed attempt that is counted against its task.
struct CountedFailure {
    failures: u32,
    workers: usize,
}

impl ShardState {
    /// Opens a task's next attempt at a worker that has room.
    pub(super) fn start(
        &mut self,
        offset: Offset,
        attempt: AttemptId,
        worker: WorkerId,
        size: Resources,
    ) -> Result<(), ShardRefusal> {
        let account = self
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
        if !size.fits_in(&account.free()) {
            return Err(ShardRefusal::WorkerFull);
        }
        if account.is_quarantined() && !account.open.is_empty() {
            return Err(ShardRefusal::Quarantined);
        }
        let opened = TaskState::Open {
            number: attempt.number,
            failures: *failures,
            checkpoint: checkpoint.clone(),
            worker: worker.clone(),
        };
        run.set_task(attempt.task.index, opened);
        account.reserve(attempt.clone(), &size);
        let incarnation = account.incarnation;
        let open = OpenAttempt {
            worker,
            incarnation,
            size,
            offset,
        };
        self.open.insert(attempt, open);
        Ok(())
    }

    /// Ends an open attempt; its worker's room is free again.
    pub(super) fn end(&mut self, attempt: &AttemptId, end: AttemptEnd) -> Result<(), ShardRefusal> {
        let open = self.open.remove(attempt).ok_or(ShardRefusal::NotOpen)?;
        let failure = self.count(attempt, &open, &end);
        let workers_known = self.workers.len();
        let id = &attempt.task.run;
        let Some(run) = self.runs.get_mut(id) else {
            return Ok(());
        };
        let attempts_max = run.spec.settings.attempts_max;
        let is_final = failure.is_some_and(|failure| {
            let differs = failure.workers >= 2 || workers_known < 2;
            let is_hopeless = failure.failures >= attempts_max * SAME_WORKER_FACTOR;
            is_hopeless || (differs && failure.failures >= attempts_max)
        });
        let is_active = run.status == RunStatus::Active;
        let is_done = is_active && end == AttemptEnd::Succeeded;
        let next = next_state(run, attempt, &end, is_final);
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

    /// Ends all attempts that were opened at a worker's earlier incarnation.
    pub(super) fn lose_attempts(&mut self, worker: &WorkerId) {
        let Some(account) = self.workers.get(worker) else {
            return;
        };
        for attempt in account.open.clone() {
            // Every attempt of an account is open.
            let _ = self.end(&attempt, AttemptEnd::Lost);
        }
    }

    /// Gives the room back and counts a failure against the worker and, unless the worker is
    /// quarantined, against the task.
    fn count(
        &mut self,
        attempt: &AttemptId,
        open: &OpenAttempt,
        end: &AttemptEnd,
    ) -> Option<CountedFailure> {
        let account = self.workers.get_mut(&open.worker)?;
        account.release(attempt, &open.size);
        let run = self.runs.get_mut(&attempt.task.run)?;
        match end {
            AttemptEnd::Succeeded => {
                account.failed_jobs.clear();
                return None;
            }
            AttemptEnd::Failed { .. } => {}
            _ => return None,
        }
        account.count_failure(&run.spec.team, &run.spec.job);
        if account.is_quarantined() {
            return None;
        }
        let failed_on = run.failed_on.entry(attempt.task.index).or_default();
        failed_on.insert(open.worker.clone());
        let workers = failed_on.len();
        let Some(TaskState::Open { failures, .. }) = run.tasks.get(attempt.task.index as usize)
        else {
            return None;
        };
        Some(CountedFailure {
            failures: failures + 1,
            workers,
        })
    }
}

/// Returns what becomes of a task whose attempt ended.
fn next_state(run: &Run, attempt: &AttemptId, end: &AttemptEnd, is_final: bool) -> TaskState {
    let task = run.tasks.get(attempt.task.index as usize);
    let Some(TaskState::Open {
        failures,
        checkpoint,
        worker,
        ..
    }) = task
    else {
        return TaskState::Ended;
    };
    let is_counted = run
        .failed_on
        .get(&attempt.task.index)
        .is_some_and(|workers| workers.contains(worker));
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
        AttemptEnd::Failed { .. } => waiting(*failures + u32::from(is_counted), checkpoint.clone()),
    }
}
