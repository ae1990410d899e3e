use serde::Deserialize;
use spdlog::Level;
use spdlog::LevelFilter;

/// The least severe log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LogLevel {
    /// Failures that need a person.
    Error,
    /// What went wrong and was handled.
    Warn,
    /// What the daemon does.
    #[default]
    Info,
    /// Single connections and records.
    Debug,
}

impl LogLevel {
    /// Returns the logger's filter.
    pub(crate) fn filter(self) -> LevelFilter {
        LevelFilter::MoreSevereEqual(match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        })
    }
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LogFormat {
    /// One line of text each.
    #[default]
    Text,
    /// One JSON object each.
    Json,
}
