use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::Run;
use super::RunSpec;
use super::RunStatus;
use super::ShardRefusal;
use super::ShardState;
use super::TaskState;

/// A run on its way from one shard to another, with the states of its tasks.
///
/// The shard that it leaves starts none of its tasks any more, and the shard that adopts it knows it by
/// its id and the number of its moves. So it has one home at a time, however often it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MovedRun {
    /// The run's id, which it keeps.
    pub run: RunId,
    /// The run's specification.
    pub spec: Box<RunSpec>,
    /// Number of the run's moves so far, including this one.
    pub moves: u32,
    /// Task states by task index; none has an open attempt.
    pub tasks: Vec<TaskState>,
    /// Workers on which each task failed, by task index.
    pub failed_on: BTreeMap<u32, BTreeSet<WorkerId>>,
    /// Number of workers that were lost after they had opened an attempt of each task last.
    #[serde(default)]
    pub crashes: BTreeMap<u32, u32>,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
}

impl MovedRun {
    fn is_well_formed(&self) -> bool {
        let has_attempt =
            |task: &TaskState| matches!(task, TaskState::Open { .. } | TaskState::Redundant { .. });
        self.moves > 0
            && self.tasks.len() == self.spec.settings.tasks as usize
            && !self.tasks.iter().any(has_attempt)
    }
}

impl ShardState {
    /// Returns the runs that have left and have not been adopted yet, as far as is recorded.
    pub fn undelivered_runs(&self) -> &BTreeSet<RunId> {
        &self.undelivered
    }

    /// Returns a run that has left and has not been adopted yet, and its destination.
    pub fn moved_run(&self, id: &RunId) -> Option<(FailureDomain, MovedRun)> {
        let run = self.runs.get(id).filter(|run| run.is_undelivered())?;
        let moved = MovedRun {
            run: id.clone(),
            spec: run.spec.clone(),
            moves: run.moves + 1,
            tasks: run.tasks.clone(),
            failed_on: run.failed_on.clone(),
            crashes: run.crashes.clone(),
            is_overdue: run.is_overdue,
        };
        Some((run.moved_to.clone()?, moved))
    }

    /// Returns whether an attempt of a run may still count: one is open, or was declared lost and may
    /// turn out to be done.
    pub fn has_unsettled_attempts(&self, id: &RunId) -> bool {
        let is_open = self.runs.get(id).is_some_and(|run| run.open_tasks() > 0);
        is_open || self.lost.keys().any(|attempt| attempt.task.run == *id)
    }

    /// Lets an active run leave for another failure domain; its tasks never start here again.
    pub(super) fn move_run(&mut self, id: &RunId, to: FailureDomain) -> Result<(), ShardRefusal> {
        let deadline_at_unix_ms = self.active_run(id)?.spec.deadline_at_unix_ms;
        if self.has_unsettled_attempts(id) {
            return Err(ShardRefusal::AttemptsOpen);
        }
        self.active.remove(id);
        self.deadlines.remove(&(deadline_at_unix_ms, id.clone()));
        self.undelivered.insert(id.clone());
        if let Some(run) = self.runs.get_mut(id) {
            run.status = RunStatus::Moved;
            run.cause = Some(format!("moved to failure domain {to}").into());
            run.moved_to = Some(to);
        }
        Ok(())
    }

    /// Closes a run that another shard has adopted.
    pub(super) fn deliver_run(&mut self, id: &RunId) -> Result<(), ShardRefusal> {
        if !self.undelivered.remove(id) {
            return Err(ShardRefusal::RunEnded);
        }
        if let Some(run) = self.runs.get_mut(id) {
            run.is_delivered = true;
        }
        self.close_if_ended(id);
        Ok(())
    }

    /// Takes over a run from another shard. The same move changes nothing when it comes again; a run
    /// that left this shard earlier may come back.
    pub(super) fn adopt_run(
        &mut self,
        offset: Offset,
        moved: MovedRun,
    ) -> Result<(), ShardRefusal> {
        if !moved.is_well_formed() {
            return Err(ShardRefusal::Malformed);
        }
        let id = moved.run.clone();
        if let Some(run) = self.runs.get(&id) {
            let is_same = run.spec.team == moved.spec.team && run.spec.job == moved.spec.job;
            if is_same && run.moves >= moved.moves {
                return Ok(());
            }
            if !is_same || run.status != RunStatus::Moved || !run.is_delivered {
                return Err(ShardRefusal::RunIdTaken);
            }
        }
        self.reserve_tasks(&id, moved.spec.settings.tasks)?;
        self.closed.retain(|closed| *closed != id);
        self.active.insert(id.clone());
        if !moved.is_overdue {
            let deadline_at_unix_ms = moved.spec.deadline_at_unix_ms;
            self.deadlines.insert((deadline_at_unix_ms, id.clone()));
        }
        self.runs.insert(id, Run::adopted(offset, moved));
        Ok(())
    }
}
