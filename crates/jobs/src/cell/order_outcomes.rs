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

/// How long an executor that said it has no room gets no new runs; its next report tells more.
const FULL_PAUSE: Duration = Duration::from_millis(300);

/// What the answers to orders change.
impl CellState {
    /// Returns the order for a start, unless it is no longer wanted.
    pub fn start_order(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        now: Instant,
    ) -> Option<StartOrder> {
        let ticket = self
            .executors
            .get(id)
            .and_then(|executor| self.ticket(task.job, task.into(), executor, now))
            .map(Box::from);
        let executor = self.executors.get_mut(id)?;
        let view = executor.run(task).filter(|view| view.run == run)?;
        if view.phase != RunPhase::Ordered {
            return None;
        }
        let job = self.ledger.job(task.job).filter(|job| job.is_open())?;
        if ticket.is_none() && Self::terms_of(&self.config, job).advice.is_some() {
            return None;
        }
        let incarnation = executor.incarnation?;
        let lease_end_ms = executor.clock?.lease_end_ms(self.settings.lease);
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

    /// Takes a run back whose start was not sent, since it was no longer wanted.
    pub fn abandon_start(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) {
        let executor = self.executors.get(id);
        let view = executor.and_then(|executor| executor.run(task));
        if view.is_some_and(|view| view.run == run && view.phase == RunPhase::Ordered) {
            self.take_back(id, task, run);
        }
    }

    /// Returns the order for a stop.
    pub fn stop_order(&self, task: TaskId, run: RunNumber) -> StopOrder {
        StopOrder {
            token: self.epoch,
            task,
            run,
        }
    }

    /// Takes the answer to a start.
    pub fn handle_start_result(
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
        let Some(view) = executor.run_mut(task, run) else {
            return;
        };
        let error = match answer {
            Ok(()) => {
                if view.phase == RunPhase::Ordered {
                    view.phase = RunPhase::Running { since: now };
                    view.progressed_at = now;
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
                // The next report tells whether it runs, has ended, or was stopped before.
                if view.phase == RunPhase::Ordered {
                    view.phase = RunPhase::Running { since: now };
                }
            }
            OrderError::Refused(refusal) => {
                match refusal {
                    StartRefusal::Room => executor.full_until = Some(now + FULL_PAUSE),
                    StartRefusal::Unhealthy => executor.health.back_off(now),
                    _ => {}
                }
                self.take_back(id, task, run);
            }
            OrderError::NotSent(_) | OrderError::OtherExecutor => {
                executor.full_until = Some(now + FULL_PAUSE);
                self.take_back(id, task, run);
            }
            OrderError::Unknown(_) => {
                // A refusal that comes before the start makes the executor reject it.
                executor.stop(task, run, now);
            }
            OrderError::Fenced => {}
        }
    }

    /// Takes the answer to a stop.
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

    /// Takes a run back that certainly never started.
    fn take_back(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.remove_run(task, run);
        if let Some(key) = executor.key() {
            self.release_run(&key, task, run, None);
        }
    }

    /// Stops the other members of a gang that has lost one: they would wait for it in vain.
    pub(super) fn stop_gang(&mut self, lost: TaskId, now: Instant) {
        let Some(job) = self.ledger.job(lost.job) else {
            return;
        };
        if !job.step(lost.step).is_gang {
            return;
        }
        let members: Vec<(TaskId, ExecutorKey)> = job
            .placed_tasks()
            .filter(|(task, ..)| StepRef::from(*task) == StepRef::from(lost))
            .map(|(task, _, executor)| (task, executor.clone()))
            .collect();
        for (task, executor) in members {
            self.stop_run(&executor, task, now);
        }
    }
}
