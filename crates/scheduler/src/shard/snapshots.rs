use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::SnapshotAssembler;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use spdlog::info;
use spdlog::warn;

use super::shard_task::ShardTask;

const SNAPSHOT_RECORDS_MIN: u64 = 20_000;
const SNAPSHOT_INTERVAL_MIN: Duration = Duration::from_secs(60);
const SNAPSHOT_INTERVAL_MAX: Duration = Duration::from_secs(1_800);
const CHUNKS_PER_PAGE_MAX: usize = 16;
const RECENT_CHUNKS_MAX: u64 = 512;

fn snapshot_stream(stream: &str) -> String {
    format!("{stream}.snapshot")
}

/// Reads the newest complete snapshot of a shard's stream; `None` if the stream has none.
///
/// The recent chunks are searched first, then the whole snapshot stream.
///
/// # Errors
/// Fails if the log is unreachable or does not answer in time.
pub(super) async fn read_snapshot(
    log: &dyn Log,
    stream: &str,
) -> Result<Option<ShardState>, CallError> {
    let stream = snapshot_stream(stream);
    let probe = log.read(&stream, Offset(0), 1, Duration::ZERO).await?;
    let end = probe.end_offset;
    let recent = Offset(
        end.0
            .saturating_sub(RECENT_CHUNKS_MAX)
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
    let mut assembler = SnapshotAssembler::default();
    while from < end {
        let page = log
            .read(stream, from, CHUNKS_PER_PAGE_MAX, Duration::ZERO)
            .await?;
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset.next();
        page.records
            .iter()
            .for_each(|record| assembler.add(&record.payload));
    }
    Ok(assembler.into_newest())
}

impl ShardTask {
    /// Appends a snapshot well before the records that it covers expire from the log.
    pub(super) fn snapshot_if_due(&mut self) {
        let now_ms = self.now_ms();
        let next = self.state.next_offset();
        let records = next.0.saturating_sub(self.last_snapshot_offset.0);
        let age_ms = now_ms.saturating_sub(self.last_snapshot_at_ms);
        let is_due = records >= SNAPSHOT_RECORDS_MIN && age_ms >= millis(SNAPSHOT_INTERVAL_MIN)
            || records > 0 && age_ms >= millis(SNAPSHOT_INTERVAL_MAX);
        if !is_due {
            return;
        }
        self.last_snapshot_at_ms = now_ms;
        self.last_snapshot_offset = next;
        self.context.metrics.snapshots.inc();
        let log = Arc::clone(&self.context.log);
        let stream = snapshot_stream(&self.context.shard.stream());
        let state = self.state.clone();
        tokio::spawn(async move {
            match log.append(&stream, &state.to_chunks()).await {
                Ok(_) => info!("shard: appended snapshot to {stream} at offset {next}"),
                Err(error) => warn!("shard: append of snapshot to {stream} failed: {error}"),
            }
        });
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
