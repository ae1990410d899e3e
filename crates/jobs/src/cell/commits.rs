use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::CellState;
use super::CommitBatch;
use super::Effect;
use super::commit_batch::PublishedJob;
use super::job_records;
use super::job_records::CRASHES_KEY_PREFIX;
use super::job_records::LOST_RUNS_KEY_PREFIX;
use super::job_records::decode_job_record;
use super::job_records::side_records;
use super::job_records::split_part;
use crate::fleet::Executor;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::ledger::decode;
use crate::ledger::encode;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::StoreLimits;
use crate::policy::LearnedInterference;

/// The size at which a batch accepts no further job.
const BATCH_BYTES_MAX: usize = 1 << 20;

/// The store key of the loads that an owner has learned.
pub(crate) const LEARNED_KEY: &str = "learned-pressures";
/// The interval between two records of the learned loads. An interval above the time that it takes
/// to learn a pair of images again would make the record useless.
const LEARNED_STORE_INTERVAL: Duration = Duration::from_secs(2);

/// Batches of records for the store, and the effects of stored batches.
impl CellState {
    /// Returns whether records or effects are pending.
    pub fn has_pending_batch(&self) -> bool {
        !self.dirty.is_empty()
            || !self.effects.is_empty()
            || !self.progress_to_delete.is_empty()
            || !self.leftovers.is_empty()
    }

    /// Removes and returns the next batch: all changes since the last one, up to a size limit.
    ///
    /// Effects depend on the records of all changed jobs, so a batch that reaches the size limit
    /// carries none.
    pub fn take_batch(&mut self, now: Instant) -> CommitBatch {
        let mut batch = CommitBatch::default();
        let mut bytes = 0;
        while let Some(id) = self.dirty.pop_first() {
            let progress = self.progress_records(id, &mut batch);
            for record in progress.into_iter().chain(self.side_records(id)) {
                bytes += StoreLimits::size_bytes(&record);
                batch.records.push(record);
            }
            if bytes >= BATCH_BYTES_MAX {
                break;
            }
        }
        for id in self.progress_to_delete.drain(..) {
            batch.records.push(KeyedRecord {
                key: id.as_str().into(),
                value: Bytes::new(),
            });
        }
        batch.records.append(&mut self.leftovers);
        batch.records.extend(self.learned_records(now));
        if self.dirty.is_empty() {
            batch.effects = std::mem::take(&mut self.effects);
        }
        batch
    }

    /// Publishes the job states of a stored batch and carries out its effects.
    pub fn handle_batch_stored(&mut self, batch: CommitBatch, now: Instant) {
        for published in batch.published {
            let PublishedJob { id, state, .. } = published;
            let previous = self.ledger.published_state(id);
            self.ledger.publish_state(id, state);
            if published.is_finished {
                self.ledger.finalize(id, state, now);
                self.step_run_times.remove_job(id);
            }
            if state.is_final() && previous != Some(state) {
                decided!(Decision::JobEnded, job: id, state: state);
            }
        }
        for effect in batch.effects {
            match effect {
                Effect::Start {
                    executor,
                    task,
                    run,
                } => self.dispatch_start(&executor, task, run, now),
                Effect::AckEnds { executor, end } => self.ack_ends(&executor, end),
            }
        }
    }

    /// Removes the finished jobs whose retention has expired and returns their ids.
    ///
    /// The caller deletes their submissions before their progress. A submission without progress
    /// would start its job again.
    pub fn take_expired_jobs(&mut self, now: Instant) -> Vec<JobId> {
        self.ledger.remove_expired(self.settings.retention, now)
    }

    /// Schedules the deletion of the progress of jobs whose submissions are deleted.
    pub fn delete_progress(&mut self, jobs: Vec<JobId>) {
        self.progress_to_delete.extend(jobs);
    }

    /// Returns the records of the learned loads, run times and shares if the store interval has passed.
    fn learned_records(&mut self, now: Instant) -> Vec<KeyedRecord> {
        if self
            .learned_stored_at
            .is_some_and(|at| now.duration_since(at) < LEARNED_STORE_INTERVAL)
        {
            return Vec::new();
        }
        self.learned_stored_at = Some(now);
        let learned = self.interference.learned(self.elapsed_ms(now));
        let loads = encode(&learned).ok().map(|value| KeyedRecord {
            key: LEARNED_KEY.into(),
            value,
        });
        let records = loads.into_iter().chain(self.run_times_record());
        records.chain(self.shares_record(now)).collect()
    }

    /// Restores the loads that a former owner learned.
    pub fn restore_learned(&mut self, learned: LearnedInterference, now: Instant) {
        let now_ms = self.elapsed_ms(now);
        self.interference.restore(learned, now_ms);
    }

    /// Returns the records beside the progress of a job that have changed.
    fn side_records(&mut self, id: JobId) -> Vec<KeyedRecord> {
        let Some(job) = self.ledger.job_mut(id) else {
            return Vec::new();
        };
        if job.is_finished() {
            job.lost_runs_mut().clear();
            job.crash_history_mut().clear();
        }
        let limits = &self.settings.store_limits;
        let mut records = Vec::new();
        if let Some(runs) = job.lost_runs_mut().take_change() {
            let stored = job.lost_runs_mut().record_mut();
            let prefix = LOST_RUNS_KEY_PREFIX;
            records.extend(side_records(prefix, id, &runs, stored, limits));
        }
        if let Some(tasks) = job.crash_history_mut().take_change() {
            let stored = job.crash_history_mut().record_mut();
            let prefix = CRASHES_KEY_PREFIX;
            records.extend(side_records(prefix, id, &tasks, stored, limits));
        }
        records
    }

    /// Restores what a former owner stored beside the progress of a restored job. Returns `false` for
    /// any other record.
    pub fn restore_side_record(&mut self, record: &KeyedRecord, now: Instant) -> bool {
        if let Some(rest) = record.key.strip_prefix(LOST_RUNS_KEY_PREFIX) {
            let (part, id) = split_part(rest);
            if let Some((id, runs)) = decode_job_record(id, record, decode)
                && let Some(job) = self.ledger.job_mut(id)
            {
                job.lost_runs_mut().restore(part, runs);
            }
        } else if let Some(rest) = record.key.strip_prefix(CRASHES_KEY_PREFIX) {
            let (part, id) = split_part(rest);
            if let Some((id, tasks)) = decode_job_record(id, record, decode) {
                self.restore_crashes(id, part, tasks, now);
            }
        } else {
            return false;
        }
        true
    }

    fn progress_records(&mut self, id: JobId, batch: &mut CommitBatch) -> Vec<KeyedRecord> {
        let Some(job) = self.ledger.job_mut(id) else {
            return Vec::new();
        };
        batch.published.push(PublishedJob {
            id,
            state: job.state(),
            is_finished: job.is_finished(),
        });
        job_records::progress_records(job, &self.settings.store_limits).unwrap_or_else(|error| {
            // Unreachable for these types. A takeover would lose the job's progress.
            spdlog::error!("cell: the progress of job {id} can't be encoded: {error}");
            Vec::new()
        })
    }

    /// Sends a stored start to its executor, unless the run was withdrawn in the meantime.
    fn dispatch_start(&mut self, key: &ExecutorKey, task: TaskId, run: RunNumber, now: Instant) {
        let is_open = self.ledger.is_open(task.job);
        let executor = self.executors.get_mut(&key.id);
        let is_same_incarnation =
            |executor: &&mut Executor| executor.incarnation == Some(key.incarnation);
        if let Some(executor) = executor.filter(is_same_incarnation)
            && let Some(view) = executor.run_mut(task, run)
        {
            if is_open && view.phase == RunPhase::Proposed {
                view.phase = RunPhase::Ordered;
                executor.send(Order::Start(task, run));
                return;
            }
            executor.remove_run(task, run);
        }
        self.requeue_run(key, task, run, None, now);
    }

    fn ack_ends(&mut self, key: &ExecutorKey, end: u64) {
        if let Some(executor) = self.executors.get_mut(&key.id)
            && executor.incarnation == Some(key.incarnation)
        {
            executor.acked_end = executor.acked_end.max(end);
        }
    }
}
