use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::AttemptEnd;
use super::LostAttempt;
use super::OpenAttempt;
use super::Run;
use super::RunStatus;
use super::ShardRefusal;
use super::ShardState;
use super::TaskState;

/// A task fails its run after `attempts_max` times this many failures even if all of them are on
/// one worker. Below that, the worker may be at fault rather than the task.
const SAME_WORKER_LIMIT_FACTOR: u32 = 3;

/// A failure that counts against a task.
pub(super) struct CountedFailure {
    /// Number of the task's failures, including this one.
    pub(super) failures: u32,
    /// Whether the failure ends the run.
    pub(super) is_final: bool,
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
        worker_state.last_opened = Some(offset);
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

    /// Ends an open attempt and releases its resources on the worker, or counts the end of an
    /// attempt that was declared lost.
    pub(super) fn end_attempt(
        &mut self,
        attempt: &AttemptId,
        end: AttemptEnd,
    ) -> Result<(), ShardRefusal> {
        let Some(open) = self.open.remove(attempt) else {
            return self.end_lost_attempt(attempt, end);
        };
        self.release(attempt, &open);
        let counted = self.count_result(attempt, &open.worker, &end);
        let is_final = counted.as_ref().is_some_and(|counted| counted.is_final);
        if end == AttemptEnd::Lost {
            let is_counted = self.count_crash(attempt, &open);
            self.keep_lost_attempt(attempt, open, is_counted);
        }
        let id = &attempt.task.run;
        let Some(run) = self.runs.get_mut(id) else {
            return Ok(());
        };
        let is_active = run.status == RunStatus::Active;
        let next = next_task_state(run, attempt, &end, counted.as_ref());
        let was_done = run.tasks[attempt.task.index as usize].is_done();
        run.done += u32::from(is_active && !was_done && next == TaskState::Done);
        run.set_task(attempt.task.index, next);
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

    fn release(&mut self, attempt: &AttemptId, open: &OpenAttempt) {
        if let Some(worker_state) = self.workers.get_mut(&open.worker) {
            worker_state.release(attempt, &open.size);
        }
    }

    /// Keeps an attempt that was declared lost, so that an end that its worker reports later still
    /// counts. A restarted worker reports no attempt of its earlier incarnations.
    fn keep_lost_attempt(&mut self, attempt: &AttemptId, open: OpenAttempt, is_counted: bool) {
        let run = self.runs.get(&attempt.task.run);
        let is_active = run.is_some_and(|run| run.status == RunStatus::Active);
        let worker_state = self.workers.get(&open.worker);
        let may_report = worker_state.is_some_and(|worker| worker.incarnation == open.incarnation);
        if is_active && may_report {
            let worker = open.worker;
            self.lost
                .insert(attempt.clone(), LostAttempt { worker, is_counted });
        }
    }

    /// Counts a lost worker for the task of the attempt that was opened last there. Returns whether this
    /// is the one.
    fn count_crash(&mut self, attempt: &AttemptId, open: &OpenAttempt) -> bool {
        let worker_state = self.workers.get(&open.worker);
        let is_last = worker_state.is_some_and(|worker| worker.last_opened == Some(open.offset));
        if is_last && let Some(run) = self.runs.get_mut(&attempt.task.run) {
            *run.crashes.entry(attempt.task.index).or_default() += 1;
        }
        is_last
    }

    /// Takes back a lost worker that has reported an end since: it runs on.
    pub(super) fn uncount_crash(&mut self, attempt: &AttemptId) {
        let run = self.runs.get_mut(&attempt.task.run);
        if let Some(count) = run.and_then(|run| run.crashes.get_mut(&attempt.task.index)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Ends all open attempts of a worker as lost, because the worker restarted.
    pub(super) fn end_lost_attempts(&mut self, worker: &WorkerId) {
        self.lost.retain(|_, lost| lost.worker != *worker);
        let Some(worker_state) = self.workers.get(worker) else {
            return;
        };
        for attempt in worker_state.open.clone() {
            // Can't fail: every attempt recorded for a worker is open.
            let _ = self.end_attempt(&attempt, AttemptEnd::Lost);
        }
    }

    /// Counts a result for the worker and, unless the worker is quarantined, a failure against the
    /// task.
    pub(super) fn count_result(
        &mut self,
        attempt: &AttemptId,
        worker: &WorkerId,
        end: &AttemptEnd,
    ) -> Option<CountedFailure> {
        let workers_known = self.workers.len();
        let worker_state = self.workers.get_mut(worker)?;
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
        let task = run.tasks.get(attempt.task.index as usize)?;
        let failures = task.failures()? + 1;
        let failed_on = run.failed_on.entry(attempt.task.index).or_default();
        failed_on.insert(worker.clone());
        let attempts_max = run.spec.settings.attempts_max;
        let is_worker_ruled_out = failed_on.len() >= 2 || workers_known < 2;
        let is_over_same_worker_limit = failures >= attempts_max * SAME_WORKER_LIMIT_FACTOR;
        Some(CountedFailure {
            failures,
            is_final: is_over_same_worker_limit
                || (is_worker_ruled_out && failures >= attempts_max),
        })
    }
}

/// Returns the state of a task after its attempt ended. `counted` is given if the end counts as a
/// failure of the task.
fn next_task_state(
    run: &Run,
    attempt: &AttemptId,
    end: &AttemptEnd,
    counted: Option<&CountedFailure>,
) -> TaskState {
    let is_active = run.status == RunStatus::Active;
    let (failures, checkpoint) = match run.tasks.get(attempt.task.index as usize) {
        Some(TaskState::Open {
            failures,
            checkpoint,
            ..
        }) if is_active => (failures, checkpoint),
        Some(TaskState::Redundant { .. }) if is_active => return TaskState::Done,
        _ => return TaskState::Ended,
    };
    let waiting = |failures: u32, checkpoint: Option<Box<str>>| TaskState::Waiting {
        attempts: attempt.number,
        failures,
        checkpoint,
    };
    match end {
        AttemptEnd::Succeeded => TaskState::Done,
        AttemptEnd::Cancelled => TaskState::Ended,
        AttemptEnd::Lost => waiting(*failures, checkpoint.clone()),
        AttemptEnd::Evicted { checkpoint: newer } => {
            waiting(*failures, newer.clone().or_else(|| checkpoint.clone()))
        }
        AttemptEnd::Failed { .. } if counted.is_some_and(|counted| counted.is_final) => {
            TaskState::Ended
        }
        AttemptEnd::Failed { .. } => {
            let failures = counted.map_or(*failures, |counted| counted.failures);
            waiting(failures, checkpoint.clone())
        }
    }
}
