use std::time::Duration;

use dotterelhook_borders::log::Log;
use dotterelhook_peer::config::read_snapshot;
use dotterelhook_state::config::CONFIG_STREAM;
use dotterelhook_state::config::ConfigState;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;

const PAGE_RECORDS_MAX: usize = 500;

/// Reads the configuration in force from the log, up to its present end, within a time limit.
///
/// # Errors
/// The log failed or did not answer in time. A read changes nothing, so the verdict is always
/// `NotRun`.
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

/// Reads the configuration that was in force after the record of a version, within a time limit.
///
/// # Errors
/// The log failed or did not answer in time, has no such record, or has no record or snapshot as old.
pub(super) async fn read_config_through(
    log: &dyn Log,
    version: Offset,
    timeout: Duration,
) -> Result<ConfigState, CallError> {
    let read = read_through(log, version);
    match tokio::time::timeout(timeout, read).await {
        Ok(result) => result.map_err(|error| CallError::not_run(error.cause)),
        Err(_) => Err(CallError::not_run("the log did not answer in time")),
    }
}

async fn read_through(log: &dyn Log, version: Offset) -> Result<ConfigState, CallError> {
    let mut state = ConfigState::default();
    loop {
        let from = state.next_offset();
        let page = log
            .read(CONFIG_STREAM, from, PAGE_RECORDS_MAX, Duration::ZERO)
            .await?;
        let first = page.records.first().map(|record| record.offset);
        let first = first.unwrap_or(page.first_offset);
        if first > from {
            state = read_covering_snapshot(log, from, first).await?;
        }
        for record in &page.records {
            if state.next_offset() <= version {
                // The state records a refusal as the outcome of the record.
                let _ = state.apply(record.offset, &record.payload);
            }
        }
        let next_offset = state.next_offset();
        if next_offset == version.next() {
            return Ok(state);
        }
        if next_offset > version {
            let cause = format!("the log has no configuration as old as version {version}");
            return Err(CallError::not_run(cause));
        }
        if next_offset >= page.end_offset {
            return Err(CallError::not_run(format!("there is no version {version}")));
        }
    }
}

async fn read_config(log: &dyn Log) -> Result<ConfigState, CallError> {
    let mut state = ConfigState::default();
    while read_page(log, &mut state).await? == Progress::More {}
    Ok(state)
}

/// Whether the log holds records beyond the page that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The log holds more records.
    More,
    /// The page reached the end of the log.
    End,
}

/// Reads the next page and applies its records to `state`.
///
/// If the next records have expired, the newest snapshot replaces `state`.
///
/// # Errors
/// The log failed, or records have expired that no snapshot covers.
pub(super) async fn read_page(
    log: &dyn Log,
    state: &mut ConfigState,
) -> Result<Progress, CallError> {
    let from = state.next_offset();
    let page = log
        .read(CONFIG_STREAM, from, PAGE_RECORDS_MAX, Duration::ZERO)
        .await?;
    let first = page.records.first().map(|record| record.offset);
    let first = first.unwrap_or(page.first_offset);
    if first > from {
        *state = read_covering_snapshot(log, from, first).await?;
        return Ok(Progress::More);
    }
    for record in &page.records {
        // The state records a refusal as the outcome of the record.
        let _ = state.apply(record.offset, &record.payload);
    }
    let is_end = page.records.is_empty() || state.next_offset() >= page.end_offset;
    Ok(if is_end {
        Progress::End
    } else {
        Progress::More
    })
}

async fn read_covering_snapshot(
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
