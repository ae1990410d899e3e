use serde::Deserialize;
use spdlog::Level;
use spdlog::LevelFilter;

/// The lowest severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Faults that the daemon handled by itself.
    Warn,
    /// Normal operation.
    #[default]
    Info,
    /// Details of single connections and records.
    Debug,
}

impl LogLevel {
    /// Returns the logger's filter for this level and the more severe ones.
    pub(crate) fn filter(self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        })
    }
}

/// The encoding of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LogFormat {
    /// Plain text, one line for each event.
    Text,
    /// One JSON object per line.
    Json,
}
