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
    /// The position of the record in its stream.
    pub offset: Offset,
    /// The content, opaque to the log.
    pub payload: Box<str>,
}

/// A contiguous range of records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The records in offset order.
    pub records: Vec<LogRecord>,
    /// The offset that the next appended record of the stream will get.
    pub end_offset: Offset,
    /// The offset of the oldest retained record of the stream.
    pub first_offset: Offset,
}

impl LogPage {
    /// Validates a page that was read from offset `from`: the records start at the expected offset,
    /// are contiguous and lie below the end offset.
    ///
    /// # Errors
    /// Returns a message that contains the offending offset.
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

/// A client of the platform's log: streams of records with consecutive offsets.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends records to a stream atomically and returns the offset of the first one.
    ///
    /// # Errors
    /// The append failed or timed out. The verdict states whether the records may have been
    /// appended.
    async fn append(&self, stream: &str, payloads: &[Box<str>]) -> Result<Offset, CallError>;

    /// Reads up to `max_records` records from an offset on. At the end of the stream, the call
    /// waits up to `hold` for the next record.
    ///
    /// If the page starts beyond `from`, the records in between have been deleted by retention.
    ///
    /// # Errors
    /// The log is unreachable, did not answer in time or sent an invalid page.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: usize,
        hold: Duration,
    ) -> Result<LogPage, CallError>;
}
