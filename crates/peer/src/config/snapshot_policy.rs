use dotterelhook_types::ids::Offset;

use super::LogBounds;

const UNCOVERED_MAX_RECORDS: u64 = 500;
const UNCOVERED_MAX_AGE_MS: u64 = 5 * 60_000;
const REWRITE_AGE_MS: u64 = 15 * 60_000;

/// The newest whole snapshot on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SnapshotAge {
    /// The offset of the first record that it does not cover.
    pub(super) next_offset: Offset,
    /// The time since it was written.
    pub(super) age_ms: u64,
}

/// Returns whether a snapshot at the given offset should be written now.
///
/// A snapshot is itself a record that expires, so it is written again even without a change.
pub(super) fn is_due(next_offset: Offset, newest: Option<SnapshotAge>, log: LogBounds) -> bool {
    if next_offset == Offset(0) {
        return false;
    }
    let Some(newest) = newest else {
        return true;
    };
    let covered = newest.next_offset.0;
    let uncovered_records = next_offset.0.saturating_sub(covered);
    let is_changed = uncovered_records > 0;
    newest.age_ms >= REWRITE_AGE_MS
        || uncovered_records >= UNCOVERED_MAX_RECORDS
        || is_changed && newest.age_ms >= UNCOVERED_MAX_AGE_MS
        || is_changed && is_near_retention(covered, log)
}

/// Returns whether half of the records between the oldest one and the snapshot may go next.
fn is_near_retention(covered: u64, log: LogBounds) -> bool {
    let first = log.first_offset.0;
    let kept_records = log.end_offset.0.saturating_sub(first);
    first > 0 && covered.saturating_sub(first) < kept_records / 2
}
