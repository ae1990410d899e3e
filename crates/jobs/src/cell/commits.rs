use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::CellState;
use super::CommitBatch;
use super::Effect;
use super::commit_batch::ShownJob;
use crate::fleet::Executor;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::ledger::JobProgress;
use crate::ledger::encode;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::policy::LearnedInterference;

/// The bytes of an append after which no further job is added: with one more record of the largest
/// size it stays below the 2 MiB that the store takes in a call.
const BATCH_BYTES_MAX: usize = 1 << 20;

/// The key under which an owner stores what it has learned.
pub(crate) const LEARNED_KEY: &str = "learned-loads";
/// The time between two records of what was learned; more than it takes to learn a pair again
/// would be wasted.
const LEARNED_INTERVAL: Duration = Duration::from_secs(2);

/// What is stored, and what follows from it.
impl CellState {
    /// Returns whether something waits to be stored or to follow.
    pub fn has_pending_batch(&self) -> bool {
        !self.dirty.is_empty() || !self.effects.is_empty() || !self.expired.is_empty()
    }

    /// Takes what has changed since the last batch.
    ///
    /// Effects wait for the records of all jobs, so a batch that is cut short carries none.
    pub fn take_batch(&mut self, now: Instant) -> CommitBatch {
        let mut batch = CommitBatch::default();
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
            if let Some(record) = self.progress_record(id, &mut batch) {
                bytes += record.key.len() + record.value.len();
                batch.records.push(record);
            }
            if bytes >= BATCH_BYTES_MAX {
                break;
            }
        }
        for id in self.expired.drain(..) {
            batch.records.push(KeyedRecord {
                key: id.as_str().into(),
                value: Bytes::new(),
            });
        }
        batch.records.extend(self.learned_record(now));
        if self.dirty.is_empty() {
            batch.effects = std::mem::take(&mut self.effects);
        }
        batch
    }

    /// Lets everything follow that waited for a batch, which is stored now.
    pub fn handle_batch_stored(&mut self, batch: CommitBatch, now: Instant) {
        for shown in batch.shown {
            let ShownJob { id, state, .. } = shown;
            let was = self.ledger.published_state(id);
            self.ledger.publish_state(id, state);
            if shown.is_finished {
                self.ledger.finalize(id, state, now);
            }
            if state.is_final() && was != Some(state) {
                decided!(Decision::JobEnded, job: id, state: state);
            }
        }
        for effect in batch.effects {
            match effect {
                Effect::Start {
                    executor,
                    task,
                    run,
                } => self.release_start(&executor, task, run),
                Effect::AckEnds { executor, end } => self.ack_ends(&executor, end),
            }
        }
    }

    /// Returns the finished jobs that need not be remembered any more; their submissions are to be
    /// dropped first, since a submission without progress would begin again.
    pub fn take_expired_jobs(&mut self, now: Instant) -> Vec<JobId> {
        self.ledger.remove_expired(self.settings.retention, now)
    }

    /// Drops the progress of jobs whose submissions are dropped.
    pub fn delete_progress(&mut self, jobs: Vec<JobId>) {
        self.expired.extend(jobs);
    }

    /// Returns what was learned, if it is time to store it again.
    fn learned_record(&mut self, now: Instant) -> Option<KeyedRecord> {
        if self
            .learned_at
            .is_some_and(|at| now.duration_since(at) < LEARNED_INTERVAL)
        {
            return None;
        }
        self.learned_at = Some(now);
        let learned = self.interference.learned(self.steady_ms(now));
        let value = encode(&learned).ok()?;
        let key = LEARNED_KEY.into();
        Some(KeyedRecord { key, value })
    }

    /// Takes over what a former owner has learned.
    pub fn restore_learned(&mut self, learned: LearnedInterference, now: Instant) {
        let now_ms = self.steady_ms(now);
        self.interference.restore(learned, now_ms);
    }

    fn progress_record(&self, id: JobId, batch: &mut CommitBatch) -> Option<KeyedRecord> {
        let job = self.ledger.job(id)?;
        let is_finished = job.is_finished();
        batch.shown.push(ShownJob {
            id,
            state: job.state(),
            is_finished,
        });
        let encoded = if is_finished {
            encode(&JobProgress {
                outcome: Some(job.state()),
                tasks: Vec::new(),
            })
        } else {
            encode(job.progress())
        };
        match encoded {
            Ok(value) => Some(KeyedRecord {
                key: id.as_str().into(),
                value,
            }),
            Err(error) => {
                // Unreachable for these types; the job would be lost on a takeover.
                spdlog::error!("cell: the progress of job {id} can't be stored: {error}");
                None
            }
        }
    }

    /// Hands a stored start to its executor, unless the run was withdrawn meanwhile.
    fn release_start(&mut self, key: &ExecutorKey, task: TaskId, run: RunNumber) {
        let is_open = self.ledger.is_open(task.job);
        let executor = self.executors.get_mut(&key.id);
        let same_life = |executor: &&mut Executor| executor.incarnation == Some(key.incarnation);
        if let Some(executor) = executor.filter(same_life)
            && let Some(view) = executor.run_mut(task, run)
        {
            if is_open && view.phase == RunPhase::Proposed {
                view.phase = RunPhase::Ordered;
                executor.send(Order::Start(task, run));
                return;
            }
            executor.remove_run(task, run);
        }
        self.release_run(key, task, run, None);
    }

    fn ack_ends(&mut self, key: &ExecutorKey, end: u64) {
        if let Some(executor) = self.executors.get_mut(&key.id)
            && executor.incarnation == Some(key.incarnation)
        {
            executor.acked_end = executor.acked_end.max(end);
        }
    }
}
