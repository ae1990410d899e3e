//! The daemon's settings: raw as written, and checked.

mod checks;
mod daemon_settings;
mod log_settings;
mod raw;

pub(crate) use daemon_settings::DaemonSettings;
pub(crate) use log_settings::LogFormat;
pub(crate) use log_settings::LogLevel;
