use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// One parsed log line of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct LogLine {
    /// Unix time, milliseconds since 1970, by the host's clock.
    pub(crate) timestamp_ms: u64,
    /// The host whose process logged the line.
    pub(crate) host: Box<str>,
    /// The event in kebab case, such as `run-placed`.
    pub(crate) event: Box<str>,
    /// The inputs of the decision by key; values other than texts as JSON.
    pub(crate) fields: BTreeMap<Box<str>, Box<str>>,
}

/// The JSON object of a log line.
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
    /// Parses a line, or returns `None` if it holds no JSON log line.
    ///
    /// A prefix before the JSON, such as the timestamp of a log collector, is skipped.
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

    /// Returns the value of a key.
    pub(crate) fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(|value| &**value)
    }

    /// Returns the task and the number of its run, if the line has both.
    pub(crate) fn run(&self) -> Option<(&str, &str)> {
        Some((self.field("task")?, self.field("run")?))
    }

    /// Returns the executor without its incarnation, if the line has one.
    pub(crate) fn executor(&self) -> Option<&str> {
        let executor = self.field("executor")?;
        executor.split('/').next()
    }

    /// Returns whether the line names a job, one of its tasks or a call on its path.
    pub(crate) fn is_about(&self, job: &str) -> bool {
        let is_job = self.field("job") == Some(job);
        let is_task = self
            .field("task")
            .is_some_and(|task| task.split('.').next() == Some(job));
        let is_call = self.field("path").is_some_and(|path| path.ends_with(job));
        is_job || is_task || is_call
    }
}
