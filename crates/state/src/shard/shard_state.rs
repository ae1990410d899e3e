use std::collections::BTreeMap;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::AttemptEnd;
use super::Run;
use super::RunSpec;
use super::RunStatus;
use super::ShardEvent;
use super::ShardRecord;
use super::ShardRefusal;
use super::TaskState;
use super::WorkerAccount;

const KEPT_WRITERS: usize = 64;

/// The process that owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The host.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// An attempt whose end is not recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    /// The worker that it belongs to.
    pub worker: WorkerId,
    /// What is reserved for it.
    pub size: Resources,
}

/// A shard after all records below one offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardState {
    next_offset: Offset,
    epoch: Epoch,
    owner: Option<Owner>,
    writers: BTreeMap<(HostId, Incarnation), (Sequence, Offset)>,
    workers: BTreeMap<WorkerId, WorkerAccount>,
    runs: BTreeMap<RunId, Run>,
    open: BTreeMap<AttemptId, OpenAttempt>,
}

impl ShardState {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the epoch of the last accepted claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the owner; none before the first claim and after a release.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns the workers whose inventory was recorded.
    pub fn workers(&self) -> &BTreeMap<WorkerId, WorkerAccount> {
        &self.workers
    }

    /// Returns the accepted runs.
    pub fn runs(&self) -> &BTreeMap<RunId, Run> {
        &self.runs
    }

    /// Returns the attempts whose end is not recorded.
    pub fn open_attempts(&self) -> &BTreeMap<AttemptId, OpenAttempt> {
        &self.open
    }

    /// Applies the record at the given offset; offsets already applied change nothing.
    ///
    /// # Errors
    /// Returns why the record was refused; a refused record changes nothing else.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<(), ShardRefusal> {
        if offset < self.next_offset {
            return Ok(());
        }
        self.next_offset = offset.next();
        let record: ShardRecord =
            serde_json::from_str(payload).map_err(|_| ShardRefusal::Malformed)?;
        self.check_repeat(offset, &record)?;
        self.check_epoch(&record)?;
        match record.event {
            ShardEvent::Claim => {
                self.epoch = record.epoch;
                let owner = Owner {
                    host: record.host,
                    incarnation: record.incarnation,
                };
                self.owner = Some(owner);
                Ok(())
            }
            ShardEvent::Release => {
                self.owner = None;
                Ok(())
            }
            ShardEvent::Worker {
                worker,
                incarnation,
                capacity,
            } => {
                self.record_worker(worker, incarnation, capacity);
                Ok(())
            }
            ShardEvent::Submit { run, spec } => self.submit(offset, run, spec),
            ShardEvent::Start {
                attempt,
                worker,
                size,
            } => self.start(attempt, worker, size),
            ShardEvent::End { attempt, end } => self.end(&attempt, end),
            ShardEvent::Cancel { run } => self.cancel(&run),
            ShardEvent::Overdue { run } => {
                let run = self.runs.get_mut(&run).ok_or(ShardRefusal::UnknownRun)?;
                run.is_overdue |= run.status == RunStatus::Active;
                Ok(())
            }
        }
    }

    fn check_repeat(&mut self, offset: Offset, record: &ShardRecord) -> Result<(), ShardRefusal> {
        let writer = (record.host.clone(), record.incarnation);
        if let Some((last, _)) = self.writers.get(&writer)
            && record.sequence <= *last
        {
            return Err(ShardRefusal::Repeated);
        }
        self.writers.insert(writer, (record.sequence, offset));
        if self.writers.len() > KEPT_WRITERS {
            let oldest = self.writers.iter().min_by_key(|(_, (_, offset))| *offset);
            let oldest = oldest.map(|(writer, _)| writer.clone());
            oldest.and_then(|writer| self.writers.remove(&writer));
        }
        Ok(())
    }

    fn check_epoch(&self, record: &ShardRecord) -> Result<(), ShardRefusal> {
        if matches!(record.event, ShardEvent::Claim) {
            let is_next = record.epoch == self.epoch.next();
            return if is_next {
                Ok(())
            } else {
                Err(ShardRefusal::StaleEpoch)
            };
        }
        if record.epoch != self.epoch {
            return Err(ShardRefusal::StaleEpoch);
        }
        let is_owner = self.owner.as_ref().is_some_and(|owner| {
            owner.host == record.host && owner.incarnation == record.incarnation
        });
        if is_owner {
            Ok(())
        } else {
            Err(ShardRefusal::NotOwner)
        }
    }

    fn record_worker(&mut self, id: WorkerId, incarnation: Incarnation, capacity: Resources) {
        let used = self
            .workers
            .get(&id)
            .map(|account| account.used)
            .unwrap_or_default();
        self.workers.insert(
            id,
            WorkerAccount {
                incarnation,
                capacity,
                used,
            },
        );
    }

    fn submit(
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
        let waiting = TaskState::Waiting {
            attempts: 0,
            failures: 0,
            checkpoint: None,
        };
        let run = Run {
            offset,
            tasks: vec![waiting; spec.settings.tasks as usize],
            spec,
            done: 0,
            status: RunStatus::Active,
            is_overdue: false,
            cause: None,
        };
        self.runs.insert(id, run);
        Ok(())
    }

    fn start(
        &mut self,
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
        let task = task_mut(run, &attempt.task)?;
        let TaskState::Waiting {
            attempts,
            failures,
            checkpoint,
        } = task
        else {
            return Err(ShardRefusal::NotNextAttempt);
        };
        if attempt.number != *attempts + 1 {
            return Err(ShardRefusal::NotNextAttempt);
        }
        if !size.fits_in(&account.free()) {
            return Err(ShardRefusal::WorkerFull);
        }
        account.used = account.used.saturating_add(&size);
        *task = TaskState::Open {
            number: attempt.number,
            failures: *failures,
            checkpoint: checkpoint.take(),
            worker: worker.clone(),
        };
        self.open.insert(attempt, OpenAttempt { worker, size });
        Ok(())
    }

    fn end(&mut self, attempt: &AttemptId, end: AttemptEnd) -> Result<(), ShardRefusal> {
        let open = self.open.remove(attempt).ok_or(ShardRefusal::NotOpen)?;
        if let Some(account) = self.workers.get_mut(&open.worker) {
            account.used = account.used.saturating_sub(&open.size);
        }
        let run = self
            .runs
            .get_mut(&attempt.task.run)
            .ok_or(ShardRefusal::UnknownRun)?;
        let attempts_max = run.spec.settings.attempts_max;
        let is_active = run.status == RunStatus::Active;
        let task = task_mut(run, &attempt.task)?;
        let TaskState::Open {
            failures,
            checkpoint,
            ..
        } = task
        else {
            return Err(ShardRefusal::NotOpen);
        };
        let waiting = |failures: u32, checkpoint: Option<Box<str>>| TaskState::Waiting {
            attempts: attempt.number,
            failures,
            checkpoint,
        };
        let mut cause = None;
        *task = match end {
            AttemptEnd::Succeeded => TaskState::Done,
            _ if !is_active => TaskState::Ended,
            AttemptEnd::Cancelled => TaskState::Ended,
            AttemptEnd::Lost => waiting(*failures, checkpoint.take()),
            AttemptEnd::Evicted { checkpoint: newer } => {
                waiting(*failures, newer.or_else(|| checkpoint.take()))
            }
            AttemptEnd::Failed { cause: said } if *failures + 1 >= attempts_max => {
                cause = Some(format!("task {}: {said}", attempt.task.index).into());
                TaskState::Ended
            }
            AttemptEnd::Failed { .. } => waiting(*failures + 1, checkpoint.take()),
        };
        let is_done = *task == TaskState::Done;
        run.done += u32::from(is_done);
        if cause.is_some() {
            run.cause = cause;
            end_run(run, RunStatus::Failed);
        } else if is_active && run.done as usize == run.tasks.len() {
            run.status = RunStatus::Complete;
        }
        Ok(())
    }

    fn cancel(&mut self, run: &RunId) -> Result<(), ShardRefusal> {
        let run = self.runs.get_mut(run).ok_or(ShardRefusal::UnknownRun)?;
        if run.status != RunStatus::Active {
            return Err(ShardRefusal::RunEnded);
        }
        end_run(run, RunStatus::Cancelled);
        Ok(())
    }
}

/// Ends a run: tasks that wait never start; open ones keep their worker until they end.
fn end_run(run: &mut Run, status: RunStatus) {
    run.status = status;
    for task in &mut run.tasks {
        if matches!(task, TaskState::Waiting { .. }) {
            *task = TaskState::Ended;
        }
    }
}

fn task_mut<'a>(run: &'a mut Run, id: &TaskId) -> Result<&'a mut TaskState, ShardRefusal> {
    run.tasks
        .get_mut(id.index as usize)
        .ok_or(ShardRefusal::UnknownRun)
}
