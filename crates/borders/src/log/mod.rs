//! The platform's append-only log.

mod http_log;
mod memory_log;

use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
pub use http_log::HttpLog;
pub use memory_log::LogFault;
pub use memory_log::MemoryLog;
use serde::Deserialize;
use serde::Serialize;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's position.
    pub offset: Offset,
    /// The record's text.
    pub payload: Box<str>,
}

/// A piece of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The records in order of their offsets.
    pub records: Vec<LogRecord>,
    /// The offset that the next appended record will get.
    pub end_offset: Offset,
    /// The oldest offset that is still kept.
    pub first_offset: Offset,
}

impl LogPage {
    /// Checks that the records follow each other within the page's bounds.
    ///
    /// # Errors
    /// Returns a sentence that says which offset is out of order.
    pub fn validate(&self, from: Offset) -> Result<(), Box<str>> {
        let first = self.records.first().map(|record| record.offset);
        let start = from.max(self.first_offset);
        if first.is_some_and(|first| first != start) {
            return Err(format!("the page does not start at offset {start}").into());
        }
        for (record, index) in self.records.iter().zip(0..) {
            let expected = start.0.saturating_add(index);
            if record.offset.0 != expected || record.offset >= self.end_offset {
                return Err(format!("offset {} is out of order", record.offset).into());
            }
        }
        Ok(())
    }
}

/// The platform's log: streams of records with offsets that grow by one.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends records to a stream, all or none, and returns the first one's offset.
    ///
    /// # Errors
    /// The verdict says whether the records may stand in the log all the same.
    async fn append(&self, stream: &str, payloads: &[Box<str>]) -> Result<Offset, CallError>;

    /// Reads from an offset on; waits up to `hold` if there is nothing yet.
    ///
    /// A page that starts beyond `from` means that the records between have expired.
    ///
    /// # Errors
    /// The log can't be reached or did not answer in time.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: usize,
        hold: Duration,
    ) -> Result<LogPage, CallError>;
}
