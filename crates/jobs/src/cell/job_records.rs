use std::str::FromStr;

use bytes::Bytes;
use serde::Serialize;

use crate::ledger::CodecError;
use crate::ledger::Job;
use crate::ledger::JobProgress;
use crate::ledger::ProgressParts;
use crate::ledger::SideRecord;
use crate::ledger::TASKS_PER_PART;
use crate::ledger::TaskProgress;
use crate::ledger::encode;
use crate::model::JobId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::StoreLimits;

/// The prefix of the key of a further part of a job's progress; the number of the part and the job's id
/// follow.
const PART_KEY_PREFIX: &str = "part.";
/// The prefix of the key of a job's lost runs; the number of the record, unless it is the first one, and
/// the job's id follow.
pub(super) const LOST_RUNS_KEY_PREFIX: &str = "lost.";
/// The prefix of the key of the executors that were lost with runs of a job; the rest as for lost runs.
pub(super) const CRASHES_KEY_PREFIX: &str = "crashes.";

/// Returns whether the record with this key is stored beside the progress of a job.
pub(crate) fn is_side_record_key(key: &str) -> bool {
    key.starts_with(LOST_RUNS_KEY_PREFIX) || key.starts_with(CRASHES_KEY_PREFIX)
}

/// Returns the number of a part of a job's progress and the id of the job, from the key of its record.
pub(crate) fn split_progress_key(key: &str) -> (usize, &str) {
    match key.strip_prefix(PART_KEY_PREFIX).map(split_part) {
        Some((part, id)) if part > 0 => (part, id),
        _ => (0, key),
    }
}

/// Returns the number of a record and the id of its job, from what follows the prefix of its key. The
/// first record has no number in its key.
pub(super) fn split_part(rest: &str) -> (usize, &str) {
    let numbered = rest.split_once('.');
    match numbered.map(|(part, id)| (usize::from_str(part), id)) {
        Some((Ok(part), id)) if part > 0 => (part, id),
        _ => (0, rest),
    }
}

/// Decodes a record about a job, whose id is a part of the key. Logs a record that can't be decoded and
/// returns `None`.
pub(crate) fn decode_job_record<T>(
    id: &str,
    record: &KeyedRecord,
    decode: impl Fn(&[u8]) -> Result<T, CodecError>,
) -> Option<(JobId, T)> {
    match (JobId::from_str(id), decode(&record.value)) {
        (Ok(id), Ok(value)) => Some((id, value)),
        (Err(error), _) => {
            decided!(Decision::RecordUnreadable, key: record.key, cause: error);
            None
        }
        (_, Err(error)) => {
            decided!(Decision::RecordUnreadable, key: record.key, cause: error);
            None
        }
    }
}

/// Returns the records of entries that are stored beside the progress of a job: as few as the store
/// takes, and the deletions of former ones. Without entries, all are deleted.
pub(super) fn side_records<T: Serialize>(
    prefix: &str,
    id: JobId,
    entries: &[T],
    record: &mut SideRecord,
    limits: &StoreLimits,
) -> Vec<KeyedRecord> {
    let mut records = Vec::new();
    let mut rest = entries;
    while !rest.is_empty() {
        let key = side_key(prefix, records.len(), id);
        match encode_fitting(rest, limits.value_max_bytes(&key)) {
            Ok((value, count)) => {
                records.push(KeyedRecord { key, value });
                rest = &rest[count..];
            }
            Err(error) => {
                spdlog::error!("cell: record {key} can't be encoded: {error}");
                return Vec::new();
            }
        }
    }
    let count = records.len();
    let former_count = record.replace_stored_count(count);
    records.extend((count..former_count).map(|part| KeyedRecord {
        key: side_key(prefix, part, id),
        value: Bytes::new(),
    }));
    records
}

/// Encodes as many of the first entries as fit, at least one, and returns their number.
fn encode_fitting<T: Serialize>(
    entries: &[T],
    max_bytes: usize,
) -> Result<(Bytes, usize), CodecError> {
    let mut count = entries.len();
    loop {
        let value = encode(&&entries[..count])?;
        if value.len() <= max_bytes || count == 1 {
            return Ok((value, count));
        }
        let estimate = (count as u64 * max_bytes as u64 / value.len() as u64) as usize;
        count = estimate.clamp(1, count - 1);
    }
}

fn side_key(prefix: &str, part: usize, id: JobId) -> Box<str> {
    match part {
        0 => format!("{prefix}{id}").into(),
        _ => format!("{prefix}{part}.{id}").into(),
    }
}

/// Returns the records of a job's progress that must be stored now.
///
/// A progress that is too large for one record is split, and only its changed parts are stored.
pub(super) fn progress_records(
    job: &mut Job,
    limits: &StoreLimits,
) -> Result<Vec<KeyedRecord>, CodecError> {
    if job.is_finished() {
        return finished_records(job);
    }
    if !job.progress_parts().is_split() {
        let value = encode(job.progress())?;
        let record = progress_record(0, job.id(), value);
        if limits.permits(&record) {
            return Ok(vec![record]);
        }
        if job.progress().tasks.len() > TASKS_PER_PART {
            decided!(Decision::ProgressSplit, job: job.id(), tasks: job.progress().tasks.len(), bytes: record.value.len(), max_bytes: limits.record_max_bytes);
            job.split_progress();
        }
    }
    let mut changed = job.take_changed_parts();
    // The first part comes last: with the former record of the whole progress, parts are ignored.
    changed.remove(&0);
    let parts = changed.into_iter().chain([0]);
    parts.map(|part| part_record(job, part, limits)).collect()
}

/// Returns the last record of a job, and the deletions of its further parts.
fn finished_records(job: &Job) -> Result<Vec<KeyedRecord>, CodecError> {
    let last = encode(&JobProgress {
        outcome: Some(job.state()),
        tasks: Vec::new(),
    })?;
    let further_parts = match job.progress_parts().is_split() {
        true => 1..ProgressParts::count(job.progress().tasks.len()),
        false => 0..0,
    };
    let deletions = further_parts.map(|part| progress_record(part, job.id(), Bytes::new()));
    let records = [progress_record(0, job.id(), last)];
    Ok(records.into_iter().chain(deletions).collect())
}

/// Returns the record that deletes a further part of a job's progress.
pub(super) fn part_deletion(part: usize, id: JobId) -> KeyedRecord {
    progress_record(part, id, Bytes::new())
}

fn part_record(job: &Job, part: usize, limits: &StoreLimits) -> Result<KeyedRecord, CodecError> {
    let progress = job.progress();
    let range = ProgressParts::task_range(part, progress.tasks.len());
    let mut stored = JobProgress {
        outcome: progress.outcome.filter(|_| part == 0),
        tasks: progress.tasks[range].to_vec(),
    };
    let mut record = progress_record(part, job.id(), encode(&stored)?);
    while !limits.permits(&record) && drop_largest_checkpoint(job.id(), &mut stored.tasks) {
        record.value = encode(&stored)?;
    }
    Ok(record)
}

/// Drops the largest checkpoint of some tasks, which may begin anew instead. Returns `false` if there is
/// none.
fn drop_largest_checkpoint(id: JobId, tasks: &mut [TaskProgress]) -> bool {
    let size_bytes =
        |task: &TaskProgress| task.checkpoint.as_ref().map(|saved| saved.as_str().len());
    let largest = tasks.iter_mut().max_by_key(|task| size_bytes(task));
    let dropped = largest.and_then(|task| task.checkpoint.take());
    if let Some(dropped) = &dropped {
        decided!(Decision::CheckpointNotStored, job: id, bytes: dropped.as_str().len());
    }
    dropped.is_some()
}

fn progress_record(part: usize, id: JobId, value: Bytes) -> KeyedRecord {
    let key = match part {
        0 => id.as_str().into(),
        _ => format!("{PART_KEY_PREFIX}{part}.{id}").into(),
    };
    KeyedRecord { key, value }
}
