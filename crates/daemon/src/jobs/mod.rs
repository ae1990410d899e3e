//! The daemon that accepts jobs with their own steps and places their runs on the executors of the
//! users' platform.

mod jobs_daemon;
mod jobs_settings;

pub(crate) use jobs_daemon::JobsDaemon;
pub(crate) use jobs_settings::JobsSettings;
pub(crate) use jobs_settings::RawJobsSettings;
