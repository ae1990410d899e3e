use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use rapidhash::v3::rapidhash_v3;

use super::Run;
use super::RunSpec;
use super::RunStatus;
use super::ShardRefusal;
use super::ShardState;

const RETAINED_CLOSED_RUNS_MAX: usize = 5_000;
const RETAINED_PRUNED_IDS_MAX: usize = 50_000;
const UNFINISHED_TASKS_MAX: u64 = 400_000;

impl ShardState {
    /// Accepts a run. A repeated submission of the same job under a retained run id has no effect.
    pub(super) fn submit(
        &mut self,
        offset: Offset,
        id: RunId,
        spec: Box<RunSpec>,
    ) -> Result<(), ShardRefusal> {
        if let Some(run) = self.runs.get(&id) {
            let is_same = run.spec.team == spec.team && run.spec.job == spec.job;
            return if is_same {
                Ok(())
            } else {
                Err(ShardRefusal::RunIdTaken)
            };
        }
        self.reserve_tasks(&id, spec.settings.tasks)?;
        self.active.insert(id.clone());
        self.deadlines
            .insert((spec.deadline_at_unix_ms, id.clone()));
        self.runs.insert(id, Run::new(offset, spec));
        Ok(())
    }

    /// Counts the tasks of a new run, unless its id was pruned or the shard is full.
    pub(super) fn reserve_tasks(&mut self, id: &RunId, tasks: u32) -> Result<(), ShardRefusal> {
        if self.pruned_set.contains(&hash_run_id(id)) {
            return Err(ShardRefusal::RunPruned);
        }
        if self.unfinished_tasks + u64::from(tasks) > UNFINISHED_TASKS_MAX {
            return Err(ShardRefusal::ShardFull);
        }
        self.unfinished_tasks += u64::from(tasks);
        Ok(())
    }

    /// Cancels an active run.
    pub(super) fn cancel(&mut self, id: &RunId) -> Result<(), ShardRefusal> {
        self.active_run(id)?;
        self.end_run(id, RunStatus::Cancelled, None);
        Ok(())
    }

    /// Fails an active run.
    pub(super) fn fail(&mut self, id: &RunId, cause: Box<str>) -> Result<(), ShardRefusal> {
        self.active_run(id)?;
        self.end_run(id, RunStatus::Failed, Some(cause));
        Ok(())
    }

    /// Marks an active run as overdue.
    pub(super) fn mark_overdue(&mut self, id: &RunId) -> Result<(), ShardRefusal> {
        self.active_run(id)?;
        if let Some(run) = self.runs.get_mut(id) {
            run.is_overdue = true;
            self.deadlines
                .remove(&(run.spec.deadline_at_unix_ms, id.clone()));
        }
        Ok(())
    }

    /// Ends an active run and closes it if no attempt is open.
    pub(super) fn end_run(&mut self, id: &RunId, status: RunStatus, cause: Option<Box<str>>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.end(status);
        run.cause = cause;
        self.active.remove(id);
        self.deadlines
            .remove(&(run.spec.deadline_at_unix_ms, id.clone()));
        self.forget_lost_attempts(id);
        self.close_if_ended(id);
    }

    /// Closes a run that has ended and has no open attempts; prunes the oldest closed run beyond
    /// the limit.
    pub(super) fn close_if_ended(&mut self, id: &RunId) {
        let Some(run) = self.runs.get_mut(id).filter(|run| run.is_closed()) else {
            return;
        };
        self.unfinished_tasks -= u64::from(run.spec.settings.tasks);
        run.discard_tasks();
        self.closed.push_back(id.clone());
        if self.closed.len() > RETAINED_CLOSED_RUNS_MAX
            && let Some(oldest) = self.closed.pop_front()
        {
            self.runs.remove(&oldest);
            self.record_pruned(hash_run_id(&oldest));
        }
    }

    fn record_pruned(&mut self, hash: u64) {
        if self.pruned_set.insert(hash) {
            self.pruned.push_back(hash);
        }
        if self.pruned.len() > RETAINED_PRUNED_IDS_MAX
            && let Some(oldest) = self.pruned.pop_front()
        {
            self.pruned_set.remove(&oldest);
        }
    }

    pub(super) fn active_run(&self, id: &RunId) -> Result<&Run, ShardRefusal> {
        let run = self.runs.get(id).ok_or(ShardRefusal::UnknownRun)?;
        if run.status == RunStatus::Active {
            Ok(run)
        } else {
            Err(ShardRefusal::RunEnded)
        }
    }
}

fn hash_run_id(id: &RunId) -> u64 {
    rapidhash_v3(id.as_str().as_bytes())
}
