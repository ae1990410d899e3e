use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use spdlog::warn;
use tokio::time::Instant;

use crate::request::Cause;
use crate::request::RequestError;

const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Written {
    at: Instant,
    omitted: u64,
}

/// Writes at most one log line a second for each cause, and tells how many were left out.
#[derive(Debug, Default)]
pub struct LossLog {
    written: Mutex<BTreeMap<Cause, Written>>,
}

impl LossLog {
    /// Writes a line, or counts it as left out.
    pub fn note(&self, error: &RequestError) {
        if let Some(line) = self.line(error) {
            warn!("{line}");
        }
    }

    /// Returns the line to write now, if one is due.
    pub fn line(&self, error: &RequestError) -> Option<String> {
        let now = Instant::now();
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = written.get_mut(&error.cause)
            && now.duration_since(last.at) < INTERVAL
        {
            last.omitted += 1;
            return None;
        }
        let last = written.insert(
            error.cause,
            Written {
                at: now,
                omitted: 0,
            },
        );
        Some(match last.map_or(0, |last| last.omitted) {
            0 => format!("front: {error}"),
            omitted => format!("front: {error}; {omitted} more like this before"),
        })
    }
}
