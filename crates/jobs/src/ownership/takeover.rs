use std::collections::HashMap;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Sequence;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::sleep;

use super::OwnerContext;
use super::OwnerRecord;
use super::topics;
use super::topics::CANCELLATION_KEY_PREFIX;
use crate::cell::CellState;
use crate::cell::LEARNED_KEY;
use crate::cell::RUN_TIMES_KEY;
use crate::cell::SHARES_KEY;
use crate::cell::decode_job_record;
use crate::cell::is_side_record_key;
use crate::cell::split_progress_key;
use crate::ledger;
use crate::ledger::JobProgress;
use crate::ledger::StoredProgress;
use crate::ledger::decode;
use crate::model::JobId;
use crate::model::Submission;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::Fence;
use crate::platform::KeyedRecord;
use crate::platform::StoreError;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// The number of low bits of an epoch that hold a random salt. The salt distinguishes concurrent
/// claims of the same generation; the remaining bits count the generations of owners.
const EPOCH_SALT_BITS: u32 = 16;
/// Attempts to claim a cell before the candidate checks the group again.
const CLAIM_ATTEMPTS_MAX: u32 = 4;
/// The pause between two attempts, in which a concurrent claimant can publish itself.
const CLAIM_PAUSE: Duration = Duration::from_millis(400);
/// The upper bound for the computed age of a restored job, since the clocks of hosts may differ.
const RESTORED_AGE_MAX: Duration = Duration::from_secs(600);

/// The result of a takeover: the restored state of a cell and the feeds that continue from it.
pub(super) struct Takeover {
    pub(super) state: CellState,
    /// One feed per submission partition.
    pub(super) submission_feeds: Vec<ChangeFeed>,
    pub(super) next_sequence: Sequence,
}

/// Claims a cell and rebuilds its state from the store.
///
/// After the claim, the store rejects appends of the former owner. The records that are read next
/// are therefore complete. The claim is published before the read, which may take seconds, so that
/// other hosts don't claim the cell meanwhile.
pub(super) async fn take_over(context: &OwnerContext, cell: u32) -> Result<Takeover, StoreError> {
    let epoch = claim(context, cell).await?;
    let record = OwnerRecord {
        epoch,
        member: context.member.clone(),
    };
    context.directory.publish(cell, &record).await?;
    let now = Instant::now();
    let settings = Arc::clone(&context.settings);
    let config = context.config.current().unwrap_or_default();
    let state = CellState::new(settings, epoch, config, now);
    let mut state = state.with_metrics(context.metrics.clone());
    let mut progress_feed =
        ChangeFeed::new(Arc::clone(&context.store), topics::progress_partition(cell));
    let mut progress: HashMap<JobId, StoredProgress> = HashMap::new();
    let progress_records = batch_records(progress_feed.next(Duration::ZERO).await?);
    for record in &progress_records {
        if &*record.key == LEARNED_KEY {
            match decode(&record.value) {
                Ok(learned) => state.restore_learned(learned, now),
                Err(error) => {
                    decided!(Decision::RecordUnreadable, key: record.key, cause: error);
                }
            }
        } else if &*record.key == SHARES_KEY {
            match decode(&record.value) {
                Ok(learned) => state.restore_shares(learned, now),
                Err(error) => {
                    decided!(Decision::RecordUnreadable, key: record.key, cause: error);
                }
            }
        } else if &*record.key == RUN_TIMES_KEY {
            match decode(&record.value) {
                Ok(learned) => state.restore_run_times(learned),
                Err(error) => {
                    decided!(Decision::RecordUnreadable, key: record.key, cause: error);
                }
            }
        } else if is_side_record_key(&record.key) {
            // Applied once the jobs are restored.
        } else {
            let (part, id) = split_progress_key(&record.key);
            if let Some((id, value)) = decode_job_record(id, record, decode::<JobProgress>) {
                progress.entry(id).or_default().add(part, value);
            }
        }
    }
    let (submission_feeds, stored) = read_submissions(context, cell).await?;
    let mut cancelled = Vec::new();
    // Each record is dropped once it is decoded: both forms of all jobs may exceed the memory.
    for record in stored {
        if let Some(id) = record.key.strip_prefix(CANCELLATION_KEY_PREFIX) {
            cancelled.extend(JobId::from_str(id).ok());
        } else if let Some((id, submission)) = decode_submission(&record) {
            let age = age_of(&submission);
            let accepted_at = now.checked_sub(age).unwrap_or(now);
            let stored = progress.remove(&id).unwrap_or_default();
            state.restore_stored(id, Arc::new(submission), stored, accepted_at, now);
        }
    }
    for (id, stored) in progress {
        state.delete_parts(id, stored.further_parts());
    }
    for record in &progress_records {
        state.restore_side_record(record, now);
    }
    for id in cancelled {
        state.cancel(id, now);
    }
    Ok(Takeover {
        state,
        submission_feeds,
        next_sequence: Sequence(1),
    })
}

/// Raises the cell's epoch at the store and returns it.
///
/// If another host claims the cell at the same time, this host yields once the other one has
/// published itself. Otherwise this host retries with a higher epoch.
async fn claim(context: &OwnerContext, cell: u32) -> Result<Epoch, StoreError> {
    let mut generation = 0;
    let mut initial_epoch = None;
    for _ in 0..CLAIM_ATTEMPTS_MAX {
        context.directory.refresh().await?;
        let known = context.directory.owner(cell).map(|owner| owner.epoch);
        if *initial_epoch.get_or_insert(known) != known {
            return Err(StoreError::Fenced);
        }
        let known_generation = known.map_or(0, |epoch| epoch.0 >> EPOCH_SALT_BITS);
        generation = (generation + 1).max(known_generation + 1);
        let salt: u64 = rand::rng().random_range(0..1 << EPOCH_SALT_BITS);
        let epoch = Epoch(generation << EPOCH_SALT_BITS | salt);
        let fence = Fence {
            epoch,
            sequence: Sequence(0),
        };
        let claimed = context
            .store
            .append(topics::progress_partition(cell), &[], Some(fence))
            .await;
        match claimed {
            Ok(_) => return Ok(epoch),
            Err(StoreError::Fenced) => sleep(CLAIM_PAUSE).await,
            Err(error) => return Err(error),
        }
    }
    Err(StoreError::Fenced)
}

/// Reads all submission partitions of a cell concurrently.
async fn read_submissions(
    context: &OwnerContext,
    cell: u32,
) -> Result<(Vec<ChangeFeed>, Vec<KeyedRecord>), StoreError> {
    let partitions = topics::cell_submission_partitions(cell, context.settings.cell_count);
    let reads: Vec<_> = partitions
        .map(|partition| {
            let mut feed = ChangeFeed::new(Arc::clone(&context.store), partition);
            tokio::spawn(async move {
                let first = feed.next(Duration::ZERO).await;
                first.map(|batch| (feed, batch_records(batch)))
            })
        })
        .collect();
    let mut feeds = Vec::new();
    let mut stored = Vec::new();
    for read in reads {
        let join_failed =
            |error: tokio::task::JoinError| StoreError::Unknown(error.to_string().into());
        let (feed, read) = read.await.map_err(join_failed)??;
        feeds.push(feed);
        stored.extend(read);
    }
    Ok((feeds, stored))
}

fn batch_records(batch: FeedBatch) -> Vec<KeyedRecord> {
    match batch {
        FeedBatch::Snapshot(records) | FeedBatch::Changes(records) => records,
    }
}

/// Decodes the record of a submission. Logs a record that can't be decoded or whose specification is
/// invalid, and returns `None`.
pub(super) fn decode_submission(record: &KeyedRecord) -> Option<(JobId, Submission)> {
    let (id, submission) = decode_job_record(&record.key, record, ledger::decode_submission)?;
    match submission.spec.validate() {
        Ok(spec) => {
            let submission = Submission {
                spec,
                queue: submission.queue,
                accepted_unix_ms: submission.accepted_unix_ms,
                entry_domain: submission.entry_domain,
            };
            Some((id, submission))
        }
        Err(error) => {
            decided!(Decision::RecordUnreadable, key: record.key, cause: error);
            None
        }
    }
}

fn age_of(submission: &Submission) -> Duration {
    let now_unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let accepted_unix = Duration::from_millis(submission.accepted_unix_ms);
    now_unix.saturating_sub(accepted_unix).min(RESTORED_AGE_MAX)
}
