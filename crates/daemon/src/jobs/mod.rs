//! The daemon of a host that accepts and runs self-contained jobs on the users' platform.

mod jobs_daemon;
mod jobs_settings;

pub(crate) use jobs_daemon::JobsDaemon;
pub(crate) use jobs_settings::JobsSettings;
pub(crate) use jobs_settings::RawJobsSettings;
