//! The commands, one file each.

mod check;
mod config_tree;
mod get;
mod history;
mod jobs;
mod publish;
mod read_config;
mod report_losses;
mod run_lines;
mod status;
mod table;

pub(crate) use check::check;
pub(crate) use get::get;
pub(crate) use history::history;
pub(crate) use jobs::jobs;
pub(crate) use publish::publish;
pub(crate) use report_losses::report_losses;
pub(crate) use status::status;
