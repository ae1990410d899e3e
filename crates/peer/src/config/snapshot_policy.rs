use dotterelhook_types::ids::Offset;

use super::LogBounds;

const UNCOVERED_MAX_RECORDS: u64 = 500;
const UNCOVERED_MAX_AGE_MS: u64 = 5 * 60_000;
const REWRITE_AGE_MS: u64 = 15 * 60_000;

/// The newest complete snapshot on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NewestSnapshot {
    /// The offset of the first record that the snapshot does not cover.
    pub(super) next_offset: Offset,
    /// Time since the snapshot was written, in milliseconds.
    pub(super) age_ms: u64,
}

/// Returns whether a snapshot at the given offset should be written now.
///
/// A process that lags behind the newest snapshot writes none. A snapshot is itself a record that
/// expires, so it is rewritten even without a change.
pub(super) fn is_due(next_offset: Offset, newest: Option<NewestSnapshot>, log: LogBounds) -> bool {
    if next_offset == Offset(0) {
        return false;
    }
    let Some(newest) = newest else {
        return true;
    };
    if newest.next_offset > next_offset {
        return false;
    }
    let covered = newest.next_offset.0;
    let uncovered_records = next_offset.0.saturating_sub(covered);
    let is_changed = uncovered_records > 0;
    newest.age_ms >= REWRITE_AGE_MS
        || uncovered_records >= UNCOVERED_MAX_RECORDS
        || is_changed && newest.age_ms >= UNCOVERED_MAX_AGE_MS
        || is_changed && is_near_retention(covered, log)
}

/// Returns whether the snapshot's end lies in the older half of the retained records.
///
/// Retention could soon expire records after it. A log that has expired nothing is not at risk.
fn is_near_retention(covered: u64, log: LogBounds) -> bool {
    let first = log.first_offset.0;
    let retained_records = log.end_offset.0.saturating_sub(first);
    first > 0 && covered.saturating_sub(first) < retained_records / 2
}
