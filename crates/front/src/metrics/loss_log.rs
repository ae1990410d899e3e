use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use spdlog::warn;
use tokio::time::Instant;

use crate::request::Cause;
use crate::request::RequestError;

const LINE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct LastLine {
    written_at: Instant,
    omitted: u64,
}

/// Logs failed requests, at most one line per second and cause; each line counts the omitted ones.
#[derive(Debug, Default)]
pub struct LossLog {
    last_lines: Mutex<BTreeMap<Cause, LastLine>>,
}

impl LossLog {
    /// Logs a failed request, or counts it as omitted.
    pub fn log(&self, error: &RequestError) {
        if let Some(line) = self.line_if_due(error) {
            warn!("{line}");
        }
    }

    /// Returns the line to log now, or counts the error as omitted and returns `None`.
    pub fn line_if_due(&self, error: &RequestError) -> Option<String> {
        let now = Instant::now();
        let mut last_lines = self
            .last_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = last_lines.get_mut(&error.cause)
            && now.duration_since(last.written_at) < LINE_INTERVAL
        {
            last.omitted += 1;
            return None;
        }
        let last = last_lines.insert(
            error.cause,
            LastLine {
                written_at: now,
                omitted: 0,
            },
        );
        Some(match last.map_or(0, |last| last.omitted) {
            0 => format!("front: {error}"),
            omitted => format!("front: {error}; {omitted} more like this before"),
        })
    }
}
