use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::SnapshotReader;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use spdlog::info;
use spdlog::warn;

use super::shard_task::ShardTask;

const RECORDS_PER_SNAPSHOT: u64 = 20_000;
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(60);
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1_800);
const PAGE_CHUNKS: usize = 16;
const RECENT_CHUNKS: u64 = 512;

/// Returns the name of the stream that a shard's snapshots stand in.
fn snapshot_stream(stream: &str) -> String {
    format!("{stream}.snapshot")
}

/// Reads the newest whole snapshot of a shard's stream.
///
/// # Errors
/// The log can't be reached or did not answer in time.
pub(super) async fn read_snapshot(
    log: &dyn Log,
    stream: &str,
) -> Result<Option<ShardState>, CallError> {
    let stream = snapshot_stream(stream);
    let probe = log.read(&stream, Offset(0), 1, Duration::ZERO).await?;
    let end = probe.end_offset;
    let recent = Offset(
        end.0
            .saturating_sub(RECENT_CHUNKS)
            .max(probe.first_offset.0),
    );
    let newest = read_from(log, &stream, recent, end).await?;
    if newest.is_some() || recent == probe.first_offset {
        return Ok(newest);
    }
    read_from(log, &stream, probe.first_offset, end).await
}

async fn read_from(
    log: &dyn Log,
    stream: &str,
    mut from: Offset,
    end: Offset,
) -> Result<Option<ShardState>, CallError> {
    let mut reader = SnapshotReader::default();
    while from < end {
        let page = log.read(stream, from, PAGE_CHUNKS, Duration::ZERO).await?;
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset.next();
        page.records
            .iter()
            .for_each(|record| reader.take(&record.payload));
    }
    Ok(reader.into_newest())
}

impl ShardTask {
    /// Appends a snapshot well before the records that it covers expire.
    pub(super) fn snapshot_if_due(&mut self) {
        let now_ms = self.now_ms();
        let next = self.state.next_offset();
        let records = next.0.saturating_sub(self.snapshot_offset.0);
        let age_ms = now_ms.saturating_sub(self.snapshot_at_ms);
        let is_due = records >= RECORDS_PER_SNAPSHOT && age_ms >= millis(SNAPSHOT_PAUSE)
            || records > 0 && age_ms >= millis(SNAPSHOT_EVERY);
        if !is_due {
            return;
        }
        self.snapshot_at_ms = now_ms;
        self.snapshot_offset = next;
        self.context.metrics.snapshots.inc();
        let log = Arc::clone(&self.context.log);
        let stream = snapshot_stream(&self.context.shard.stream());
        let state = self.state.clone();
        tokio::spawn(async move {
            match log.append(&stream, &state.to_chunks()).await {
                Ok(_) => info!("shard: snapshot of {stream} at {next}"),
                Err(error) => warn!("shard: no snapshot of {stream}: {error}"),
            }
        });
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
