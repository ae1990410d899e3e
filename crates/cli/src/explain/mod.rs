//! The timeline of one job, assembled from the log lines of several processes.

mod job_timeline;
mod log_line;

pub(crate) use job_timeline::JobTimeline;
pub(crate) use log_line::LogLine;
