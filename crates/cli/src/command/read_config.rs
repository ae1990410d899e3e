use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_peer::config::read_snapshot;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;

const PAGE_RECORDS: usize = 500;

/// Reads the configuration in force from the log within a time limit.
///
/// # Errors
/// The log did not answer in time; a read changes nothing, so the verdict is always `NotRun`.
pub(super) async fn read_config_within(
    log: &dyn Log,
    timeout: Duration,
) -> Result<ConfigState, CallError> {
    match tokio::time::timeout(timeout, read_config(log)).await {
        Ok(result) => result.map_err(|error| CallError::not_run(error.cause)),
        Err(_) => {
            let limit_ms = timeout.as_millis();
            let cause = format!("the log did not answer within {limit_ms} ms");
            Err(CallError::not_run(cause))
        }
    }
}

/// Reads the configuration in force from the log, up to its present end.
async fn read_config(log: &dyn Log) -> Result<ConfigState, CallError> {
    let mut state = ConfigState::default();
    while read_page(log, &mut state).await? == Progress::More {}
    Ok(state)
}

/// Whether the log holds more than was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The log holds more.
    More,
    /// The end was reached.
    End,
}

/// Reads one page on; takes a snapshot if records between have expired.
pub(super) async fn read_page(
    log: &dyn Log,
    state: &mut ConfigState,
) -> Result<Progress, CallError> {
    let from = state.next_offset();
    let page = log
        .read(CONFIG_STREAM, from, PAGE_RECORDS, Duration::ZERO)
        .await?;
    let first = page.records.first().map(|record| record.offset);
    let first = first.unwrap_or(page.first_offset);
    if first > from {
        *state = covering_snapshot(log, from, first).await?;
        return Ok(Progress::More);
    }
    for record in &page.records {
        // A refusal is kept as the record's outcome.
        let _ = state.apply(record.offset, &record.payload);
    }
    let is_end = page.records.is_empty() || state.next_offset() >= page.end_offset;
    Ok(if is_end {
        Progress::End
    } else {
        Progress::More
    })
}

async fn covering_snapshot(
    log: &dyn Log,
    from: Offset,
    first: Offset,
) -> Result<ConfigState, CallError> {
    match read_snapshot(log, first).await? {
        Some(snapshot) if snapshot.state.next_offset() >= first => Ok(snapshot.state),
        _ => Err(CallError::not_run(format!(
            "records {from} to {first} have expired and no snapshot covers them"
        ))),
    }
}
