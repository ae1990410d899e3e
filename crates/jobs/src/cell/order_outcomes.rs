use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::fleet::RunPhase;
use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::OrderError;
use crate::platform::StartOrder;
use crate::platform::StartRefusal;
use crate::platform::StopOrder;

/// How long an executor receives no new runs after it had no room for a start or could not be
/// reached. The executor's next report then refreshes the owner's view.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// Orders to executors, and the handling of their answers.
impl CellState {
    /// Returns the start order of a run, or `None` if the run must not start any more.
    ///
    /// A start extends the lease of its executor, so it needs `may_renew` as a renewal does.
    pub fn start_order(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        may_renew: bool,
        now: Instant,
    ) -> Option<StartOrder> {
        if !may_renew {
            return None;
        }
        let ticket = self
            .executors
            .get(id)
            .and_then(|executor| self.ticket(task.job, task.into(), executor, now))
            .map(Box::from);
        let executor = self.executors.get(id)?;
        if !self.may_start_on(executor, now) {
            return None;
        }
        let starts_until = self.operator_view.valid_until;
        let executor = self.executors.get_mut(id)?;
        let view = executor.run(task).filter(|view| view.run == run)?;
        if view.phase != RunPhase::Ordered {
            return None;
        }
        let job = self.ledger.job(task.job).filter(|job| job.is_open())?;
        if ticket.is_none() && Self::queue_config(&self.config, job).advice.is_some() {
            return None;
        }
        // The capacity may have shrunk since the placement.
        let fits = executor.used().fits_in(&executor.entry.capacity);
        if executor.given_up_at.is_some() || !fits {
            return None;
        }
        let incarnation = executor.incarnation?;
        let clock = executor.clock?;
        let lease_end_ms = clock.lease_end_ms(self.settings.lease);
        // The executor refuses a start after its lease end, so one that arrives late can't take
        // place once the view would be too old. Renewals bring the full lease.
        let latest_ms = starts_until.map_or(u64::MAX, |until| clock.earliest_ms_at(until));
        let lease_end_ms = lease_end_ms.min(latest_ms);
        executor.start_sent_at = Some(now);
        Some(StartOrder {
            incarnation,
            token: self.epoch,
            task,
            run,
            payload: job.submission().spec.payload.clone(),
            lease_end_ms,
            checkpoint: job.task(task)?.checkpoint.clone(),
            ticket,
        })
    }

    /// Gives up a start for which `start_order` returned `None`.
    ///
    /// Requeues the task, unless an earlier send may have started the run: then stops the run, and
    /// the task waits until the executor has answered the stop.
    pub fn abandon_start(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        may_have_run: bool,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let view = executor.run(task);
        if view.is_none_or(|view| view.run != run || view.phase != RunPhase::Ordered) {
            return;
        }
        if may_have_run {
            executor.stop(task, run, now);
        } else {
            self.requeue_unstarted(id, task, run, now);
        }
    }

    /// Returns the stop order of a run, which carries the owner's epoch as fencing token. Returns `None`
    /// while a later owner may have started the run; the stop is sent again with a later report.
    pub fn stop_order(&self, task: TaskId, run: RunNumber) -> Option<StopOrder> {
        (!self.may_be_foreign(task, run)).then_some(StopOrder {
            token: self.epoch,
            task,
            run,
        })
    }

    /// Handles an executor's answer to a start order.
    pub fn handle_start_result(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        answer: Result<(), OrderError>,
        now: Instant,
    ) {
        if answer.is_ok() {
            self.ledger.mark_started(task.job);
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(view) = executor.run_mut(task, run) else {
            return;
        };
        let error = match answer {
            Ok(()) => {
                if view.phase == RunPhase::Ordered {
                    view.phase = RunPhase::Running { since: now };
                    view.progressed_at = now;
                    view.full_pace_since = Some(now);
                    executor.record_filler_shares(now);
                    decided!(Decision::RunStarted, task: task, run: run, executor: id);
                }
                return;
            }
            Err(error) => error,
        };
        decided!(Decision::RunNotStarted, task: task, run: run, executor: id, cause: error);
        match error {
            OrderError::Refused(StartRefusal::Old) => {
                // The next report shows whether the run is active, has ended, or was stopped.
                if view.phase == RunPhase::Ordered {
                    view.phase = RunPhase::Running { since: now };
                }
            }
            OrderError::Refused(refusal) => {
                match refusal {
                    StartRefusal::Room => executor.full_until = Some(now + REFUSAL_PAUSE),
                    StartRefusal::Unhealthy => executor.health.back_off(now),
                    _ => {}
                }
                self.requeue_unstarted(id, task, run, now);
            }
            OrderError::NotSent(_) | OrderError::NoListener(_) | OrderError::OtherExecutor => {
                executor.full_until = Some(now + REFUSAL_PAUSE);
                self.requeue_unstarted(id, task, run, now);
            }
            OrderError::Unknown(_) => {
                // If the stop overtakes the start, the executor refuses the start.
                executor.stop(task, run, now);
            }
            OrderError::Fenced => {}
        }
    }

    /// Handles an executor's answer to a stop order.
    pub fn handle_stop_result(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        answer: Result<(), OrderError>,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if let Some(view) = executor.run_mut(task, run)
            && let RunPhase::Stopping { answered_at, .. } = &mut view.phase
            && answer.is_ok()
        {
            answered_at.get_or_insert(now);
        }
    }

    /// Requeues the task of a run that certainly never started.
    fn requeue_unstarted(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber, now: Instant) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.remove_run(task, run);
        if let Some(key) = executor.key() {
            self.requeue_run(&key, task, run, None, now);
        }
    }

    /// Stops the placed run of a task, and those of its gang. The members of a gang make progress only
    /// together.
    pub(super) fn stop_task_and_gang(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let is_gang = job.step(task.step).is_gang;
        let runs: Vec<(TaskId, ExecutorKey)> = job
            .placed_tasks()
            .filter(|(other, ..)| {
                *other == task || is_gang && StepRef::from(*other) == StepRef::from(task)
            })
            .map(|(other, _, executor)| (other, executor.clone()))
            .collect();
        for (other, executor) in runs {
            self.stop_run(&executor, other, now);
        }
    }
}
