use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// One line that a process logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct LogLine {
    /// Milliseconds since 1970 on the host's clock.
    pub(crate) timestamp_ms: u64,
    /// The host.
    pub(crate) host: Box<str>,
    /// The event.
    pub(crate) event: Box<str>,
    /// The inputs that decided it.
    pub(crate) fields: BTreeMap<Box<str>, Box<str>>,
}

/// A line as it is written.
#[derive(Deserialize)]
struct RawLine {
    #[serde(default)]
    timestamp: u64,
    #[serde(default)]
    logger: Box<str>,
    payload: Box<str>,
    #[serde(default)]
    kv: BTreeMap<Box<str>, serde_json::Value>,
}

impl LogLine {
    /// Reads a line; whatever stands before its JSON, such as a collector's own time, is skipped.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let raw: RawLine = serde_json::from_str(text[start..].trim_end()).ok()?;
        let fields = raw.kv.into_iter().map(|(key, value)| match value {
            serde_json::Value::String(text) => (key, text.into_boxed_str()),
            other => (key, other.to_string().into_boxed_str()),
        });
        Some(Self {
            timestamp_ms: raw.timestamp,
            host: raw.logger,
            event: raw.payload,
            fields: fields.collect(),
        })
    }

    /// Returns a field.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(|value| &**value)
    }

    /// Returns the task and the run that the line is about.
    pub(crate) fn run(&self) -> Option<(&str, &str)> {
        Some((self.field("task")?, self.field("run")?))
    }

    /// Returns the executor that the line is about, without its life.
    pub(crate) fn executor(&self) -> Option<&str> {
        let executor = self.field("executor")?;
        executor.split('/').next()
    }

    /// Returns whether the line is about a job.
    pub(crate) fn is_about(&self, job: &str) -> bool {
        let is_job = self.field("job") == Some(job);
        let is_task = self
            .field("task")
            .is_some_and(|task| task.split('.').next() == Some(job));
        let is_call = self.field("path").is_some_and(|path| path.ends_with(job));
        is_job || is_task || is_call
    }
}
