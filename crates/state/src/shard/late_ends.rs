use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::AttemptEnd;
use super::RunStatus;
use super::ShardRefusal;
use super::ShardState;
use super::TaskState;

/// An attempt that was declared lost, and whose worker may still report how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAttempt {
    /// The worker on which the attempt was opened.
    pub worker: WorkerId,
    /// Whether the loss counts as a crash of the worker.
    #[serde(default)]
    pub is_counted: bool,
}

impl ShardState {
    /// Applies a reported end of an attempt that was declared lost before.
    ///
    /// A success completes the task, also while a newer attempt is open; a failure counts against
    /// the limit; a checkpoint is used unless a newer attempt was opened. Each attempt counts once,
    /// since its entry is removed.
    pub(super) fn end_lost_attempt(
        &mut self,
        attempt: &AttemptId,
        end: AttemptEnd,
    ) -> Result<(), ShardRefusal> {
        if matches!(end, AttemptEnd::Lost | AttemptEnd::Cancelled) {
            return Err(ShardRefusal::NotOpen);
        }
        let lost = self.lost.remove(attempt).ok_or(ShardRefusal::NotOpen)?;
        if lost.is_counted {
            self.uncount_crash(attempt);
        }
        let counted = self.count_result(attempt, &lost.worker, &end);
        let is_final = counted.as_ref().is_some_and(|counted| counted.is_final);
        let id = &attempt.task.run;
        let Some(run) = self.runs.get_mut(id) else {
            return Ok(());
        };
        let index = attempt.task.index;
        let Some(task) = run.tasks.get(index as usize).cloned() else {
            return Ok(());
        };
        match end {
            AttemptEnd::Succeeded => {
                run.done += u32::from(!task.is_done());
                run.set_task(index, task.completed());
                if run.done == run.spec.settings.tasks {
                    self.end_run(id, RunStatus::Complete, None);
                }
            }
            AttemptEnd::Failed { cause } if is_final => {
                let cause = format!("task {index}: {cause}");
                self.end_run(id, RunStatus::Failed, Some(cause.into()));
            }
            AttemptEnd::Failed { .. } => {
                let failures = counted.map(|counted| counted.failures);
                run.set_task(index, task.with_failures(failures));
            }
            AttemptEnd::Evicted { checkpoint } => {
                run.set_task(index, task.with_checkpoint_of(attempt.number, checkpoint));
            }
            AttemptEnd::Lost | AttemptEnd::Cancelled => {}
        }
        Ok(())
    }

    /// Forgets the lost attempts of a run that has ended, since their results no longer count.
    pub(super) fn forget_lost_attempts(&mut self, run: &RunId) {
        self.lost.retain(|attempt, _| attempt.task.run != *run);
    }
}

impl TaskState {
    /// Returns whether the task has succeeded.
    pub(super) fn is_done(&self) -> bool {
        matches!(self, Self::Done | Self::Redundant { .. })
    }

    /// Returns the number of failed attempts that count against the task, unless it has ended.
    pub(super) fn failures(&self) -> Option<u32> {
        match self {
            Self::Waiting { failures, .. } | Self::Open { failures, .. } => Some(*failures),
            Self::Redundant { .. } | Self::Done | Self::Ended => None,
        }
    }

    fn completed(self) -> Self {
        match self {
            Self::Open { number, .. } | Self::Redundant { number } => Self::Redundant { number },
            Self::Waiting { .. } | Self::Done | Self::Ended => Self::Done,
        }
    }

    fn with_failures(mut self, counted: Option<u32>) -> Self {
        if let (Self::Waiting { failures, .. } | Self::Open { failures, .. }, Some(counted)) =
            (&mut self, counted)
        {
            *failures = counted;
        }
        self
    }

    /// Returns the task with the checkpoint of its newest attempt, if there is one.
    fn with_checkpoint_of(mut self, number: u32, newer: Option<Box<str>>) -> Self {
        if let Self::Waiting {
            attempts,
            checkpoint,
            ..
        } = &mut self
            && *attempts == number
            && newer.is_some()
        {
            *checkpoint = newer;
        }
        self
    }
}
