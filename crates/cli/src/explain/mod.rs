//! Explanations from the log lines of several processes: the timeline of one job, and an overview of
//! all events by second.

mod job_timeline;
mod log_line;
mod overview;

pub(crate) use job_timeline::JobTimeline;
pub(crate) use log_line::LogLine;
pub(crate) use overview::Overview;
