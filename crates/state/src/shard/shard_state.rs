use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use serde::Deserialize;
use serde::Serialize;

use super::LostAttempt;
use super::Run;
use super::ShardEvent;
use super::ShardRecord;
use super::ShardRefusal;
use super::WorkerState;

/// The process that owns a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The host that runs the process.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// An attempt whose end has not been recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    /// The worker on which the attempt was opened.
    pub worker: WorkerId,
    /// The worker's incarnation when the attempt was opened.
    pub incarnation: Incarnation,
    /// Resources reserved for the attempt.
    pub size: Resources,
    /// Offset of the record that opened the attempt.
    pub offset: Offset,
}

/// The state of a shard after all records below `next_offset`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    pub(super) next_offset: Offset,
    pub(super) epoch: Epoch,
    pub(super) owner: Option<Owner>,
    pub(super) owner_sequence: Sequence,
    pub(super) workers: BTreeMap<WorkerId, WorkerState>,
    pub(super) runs: BTreeMap<RunId, Run>,
    pub(super) open: BTreeMap<AttemptId, OpenAttempt>,
    /// Attempts of active runs that were declared lost and whose workers may still report an end.
    #[serde(default)]
    pub(super) lost: BTreeMap<AttemptId, LostAttempt>,
    /// Retained closed runs, oldest first.
    pub(super) closed: VecDeque<RunId>,
    /// Hashes of the ids of pruned runs, oldest first; retained so that these ids are not reused.
    pub(super) pruned: VecDeque<u64>,
    #[serde(skip)]
    pub(super) pruned_set: BTreeSet<u64>,
    #[serde(skip)]
    pub(super) active: BTreeSet<RunId>,
    #[serde(skip)]
    pub(super) undelivered: BTreeSet<RunId>,
    #[serde(skip)]
    pub(super) deadlines: BTreeSet<(u64, RunId)>,
    #[serde(skip)]
    pub(super) unfinished_tasks: u64,
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

    /// Returns the owner, or `None` before the first claim and after a release.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns the workers whose inventory has been recorded.
    pub fn workers(&self) -> &BTreeMap<WorkerId, WorkerState> {
        &self.workers
    }

    /// Returns the retained runs: all that are not closed, and the most recently closed ones.
    pub fn runs(&self) -> &BTreeMap<RunId, Run> {
        &self.runs
    }

    /// Returns the ids of the active runs.
    pub fn active_runs(&self) -> &BTreeSet<RunId> {
        &self.active
    }

    /// Returns the active runs that are not overdue, ordered by deadline as Unix time in
    /// milliseconds.
    pub fn deadlines(&self) -> &BTreeSet<(u64, RunId)> {
        &self.deadlines
    }

    /// Returns whether any task waits for a worker.
    pub fn has_waiting_tasks(&self) -> bool {
        let mut active = self.active.iter().filter_map(|id| self.runs.get(id));
        active.any(|run| !run.waiting_tasks().is_empty())
    }

    /// Returns the attempts whose end has not been recorded.
    pub fn open_attempts(&self) -> &BTreeMap<AttemptId, OpenAttempt> {
        &self.open
    }

    /// Returns the attempts that were declared lost and whose end still counts if it is reported.
    pub fn lost_attempts(&self) -> &BTreeMap<AttemptId, LostAttempt> {
        &self.lost
    }

    /// Applies the record at the given offset. A record below the next offset has no effect.
    ///
    /// # Errors
    /// Returns the reason for a refusal. A refused record changes only the next offset and the
    /// owner's last sequence number.
    pub fn apply(&mut self, offset: Offset, payload: &str) -> Result<(), ShardRefusal> {
        match serde_json::from_str(payload) {
            Ok(record) => self.apply_record(offset, record),
            Err(_) => {
                self.skip(offset);
                Err(ShardRefusal::Malformed)
            }
        }
    }

    /// Advances past a record without applying the record, such as one that can't be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset.next());
    }

    /// Applies a decoded record at the given offset.
    ///
    /// # Errors
    /// Returns the same refusals as [`Self::apply`].
    pub fn apply_record(
        &mut self,
        offset: Offset,
        record: ShardRecord,
    ) -> Result<(), ShardRefusal> {
        if offset < self.next_offset {
            return Ok(());
        }
        self.skip(offset);
        if matches!(record.event, ShardEvent::Claim) {
            return self.claim(record);
        }
        self.accept_writer(&record)?;
        match record.event {
            ShardEvent::Claim => Ok(()),
            ShardEvent::Release => {
                self.owner = None;
                Ok(())
            }
            ShardEvent::Worker {
                worker,
                incarnation,
                capacity,
            } => self.record_worker(worker, incarnation, capacity),
            ShardEvent::Submit { run, spec } => self.submit(offset, run, spec),
            ShardEvent::Start {
                attempt,
                worker,
                size,
            } => self.start_attempt(offset, attempt, worker, size),
            ShardEvent::End { attempt, end } => self.end_attempt(&attempt, end),
            ShardEvent::Cancel { run } => self.cancel(&run),
            ShardEvent::Fail { run, cause } => self.fail(&run, cause),
            ShardEvent::Overdue { run } => self.mark_overdue(&run),
            ShardEvent::Move { run, to } => self.move_run(&run, to),
            ShardEvent::Delivered { run } => self.deliver_run(&run),
            ShardEvent::Adopt { moved } => self.adopt_run(offset, *moved),
        }
    }

    fn claim(&mut self, record: ShardRecord) -> Result<(), ShardRefusal> {
        if record.epoch != self.epoch.next() {
            return Err(ShardRefusal::StaleEpoch);
        }
        self.epoch = record.epoch;
        self.owner_sequence = record.sequence;
        self.owner = Some(Owner {
            host: record.host,
            incarnation: record.incarnation,
        });
        Ok(())
    }

    /// Checks epoch, owner and sequence number, and records the sequence number. The epoch check
    /// alone fences all records of earlier epochs.
    fn accept_writer(&mut self, record: &ShardRecord) -> Result<(), ShardRefusal> {
        if record.epoch != self.epoch {
            return Err(ShardRefusal::StaleEpoch);
        }
        let is_owner = self.owner.as_ref().is_some_and(|owner| {
            owner.host == record.host && owner.incarnation == record.incarnation
        });
        if !is_owner {
            return Err(ShardRefusal::NotOwner);
        }
        if record.sequence <= self.owner_sequence {
            return Err(ShardRefusal::Repeated);
        }
        self.owner_sequence = record.sequence;
        Ok(())
    }

    fn record_worker(
        &mut self,
        id: WorkerId,
        incarnation: Incarnation,
        capacity: Resources,
    ) -> Result<(), ShardRefusal> {
        let Some(worker_state) = self.workers.get_mut(&id) else {
            let worker_state = WorkerState::new(incarnation, capacity);
            self.workers.insert(id, worker_state);
            return Ok(());
        };
        if incarnation < worker_state.incarnation {
            return Err(ShardRefusal::StaleIncarnation);
        }
        let has_restarted = incarnation > worker_state.incarnation;
        worker_state.incarnation = incarnation;
        worker_state.capacity = capacity;
        if has_restarted {
            self.end_lost_attempts(&id);
        }
        Ok(())
    }
}
