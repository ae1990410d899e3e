use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_state::config::SNAPSHOT_STREAM;
use dotterelhook_state::config::Snapshot;
use dotterelhook_state::config::SnapshotAssembler;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use spdlog::warn;

const FIRST_WINDOW_RECORDS: u64 = 16;
const WINDOW_GROWTH: u64 = 4;
const PAGE_RECORDS: usize = 16;

/// Reads the newest complete snapshot that the log retains; `None` if there is none.
///
/// Reads growing windows back from the end, so that older snapshots cost nothing. The window grows
/// until a snapshot covers all records below `min_next_offset`, because a snapshot that was
/// completed late may be older than those before it on the log.
///
/// # Errors
/// The log can't be reached or did not answer in time.
pub async fn read_snapshot(
    log: &dyn Log,
    min_next_offset: Offset,
) -> Result<Option<Snapshot>, CallError> {
    let page = log
        .read(SNAPSHOT_STREAM, Offset(u64::MAX), 1, Duration::ZERO)
        .await?;
    let mut window_records = FIRST_WINDOW_RECORDS;
    loop {
        let start = page.end_offset.0.saturating_sub(window_records);
        let start = Offset(start.max(page.first_offset.0));
        let found = read_window(log, start).await?;
        let covers = |found: &Snapshot| found.state.next_offset() >= min_next_offset;
        if found.as_ref().is_some_and(covers) || start <= page.first_offset {
            return Ok(found);
        }
        window_records = window_records.saturating_mul(WINDOW_GROWTH);
    }
}

async fn read_window(log: &dyn Log, start: Offset) -> Result<Option<Snapshot>, CallError> {
    let mut assembly = SnapshotAssembler::default();
    let mut newest: Option<Snapshot> = None;
    let mut from = start;
    loop {
        let page = log
            .read(SNAPSHOT_STREAM, from, PAGE_RECORDS, Duration::ZERO)
            .await?;
        for record in &page.records {
            match assembly.add(&record.payload) {
                Ok(Some(read)) if is_newer(&read, newest.as_ref()) => newest = Some(read),
                Ok(_) => {}
                Err(error) => warn!("config: snapshot record {} refused: {error}", record.offset),
            }
        }
        match page.records.last() {
            Some(last) if last.offset.next() < page.end_offset => from = last.offset.next(),
            _ => return Ok(newest),
        }
    }
}

fn is_newer(snapshot: &Snapshot, other: Option<&Snapshot>) -> bool {
    other.is_none_or(|other| snapshot.state.next_offset() >= other.state.next_offset())
}
