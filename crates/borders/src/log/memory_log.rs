use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Offset;
use tokio::sync::Notify;

use super::Log;
use super::LogPage;
use super::LogRecord;

/// A fault that a [`MemoryLog`] simulates.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFault {
    /// No fault.
    #[default]
    None,
    /// Every call fails and has no effect.
    Down,
    /// Appends take effect, but fail as if the answer were lost. Reads succeed.
    LoseAnswers,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    payloads: Vec<Box<str>>,
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.payloads.len() as u64
    }
}

/// An in-memory log, for tests and for the stand-in server of the log.
#[derive(Debug, Default)]
pub struct MemoryLog {
    streams: Mutex<BTreeMap<Box<str>, Stream>>,
    fault: Mutex<LogFault>,
    appended: Notify,
}

impl MemoryLog {
    /// Sets the simulated fault until the next call of this function.
    pub fn set_fault(&self, fault: LogFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Deletes the records of a stream below an offset, as retention does.
    pub fn expire(&self, stream: &str, first_offset: Offset) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stream) = streams.get_mut(stream) {
            let new_first = first_offset
                .0
                .clamp(stream.first_offset, stream.end_offset());
            let deleted = (new_first - stream.first_offset) as usize;
            stream.payloads.drain(..deleted);
            stream.first_offset = new_first;
        }
    }

    /// Deletes the oldest records of each stream, so that at most `records_max` remain.
    pub fn retain_newest(&self, records_max: usize) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in streams.values_mut() {
            let deleted = stream.payloads.len().saturating_sub(records_max);
            stream.payloads.drain(..deleted);
            stream.first_offset += deleted as u64;
        }
    }

    fn fault(&self) -> LogFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, stream: &str, from: Offset, max_records: usize) -> LogPage {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(stream) = streams.get(stream) else {
            return LogPage::default();
        };
        let start = from.0.clamp(stream.first_offset, stream.end_offset());
        let skipped = (start - stream.first_offset) as usize;
        let payloads = stream.payloads.iter().skip(skipped).take(max_records);
        let records = payloads.zip(start..).map(|(payload, offset)| LogRecord {
            offset: Offset(offset),
            payload: payload.clone(),
        });
        LogPage {
            records: records.collect(),
            end_offset: Offset(stream.end_offset()),
            first_offset: Offset(stream.first_offset),
        }
    }
}

#[async_trait]
impl Log for MemoryLog {
    async fn append(&self, stream: &str, payloads: &[Box<str>]) -> Result<Offset, CallError> {
        if self.fault() == LogFault::Down {
            return Err(CallError::not_run("the log is down"));
        }
        let first = {
            let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
            let stream = streams.entry(stream.into()).or_default();
            let first = stream.end_offset();
            stream.payloads.extend_from_slice(payloads);
            first
        };
        self.appended.notify_waiters();
        if self.fault() == LogFault::LoseAnswers {
            return Err(CallError::may_have_run("the answer was lost"));
        }
        Ok(Offset(first))
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: usize,
        hold: Duration,
    ) -> Result<LogPage, CallError> {
        let deadline = tokio::time::Instant::now() + hold;
        loop {
            let appended = self.appended.notified();
            if self.fault() == LogFault::Down {
                return Err(CallError::not_run("the log is down"));
            }
            let page = self.page(stream, from, max_records);
            if !page.records.is_empty() || hold.is_zero() {
                return Ok(page);
            }
            if tokio::time::timeout_at(deadline, appended).await.is_err() {
                return Ok(page);
            }
        }
    }
}
