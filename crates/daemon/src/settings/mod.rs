//! The daemon's settings: decoded from the file, then checked.

mod checks;
mod daemon_settings;
mod log_settings;
mod raw;

pub(crate) use checks::checked_memory;
pub(crate) use checks::checked_millis;
pub(crate) use checks::checked_number;
pub(crate) use daemon_settings::DaemonSettings;
pub(crate) use daemon_settings::new_incarnation;
pub(crate) use log_settings::LogFormat;
pub(crate) use log_settings::LogLevel;
pub(crate) use raw::RawLog;
pub(crate) use raw::RawStop;
