//! The story of one job, told from the log lines of several processes.

mod log_line;
mod story;

pub(crate) use log_line::LogLine;
pub(crate) use story::Story;
