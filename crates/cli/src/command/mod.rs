//! The commands of the command line, one file each, and the helpers that several of them share.

mod check;
mod collected_evacuations;
mod collected_runs;
mod config_tree;
mod evacuate;
mod explain;
mod get;
mod history;
mod jobs;
mod plan;
mod publish;
mod publisher;
mod read_config;
mod report_burn;
mod report_losses;
mod status;
mod table;
mod worker_capacities;

pub(crate) use check::check;
pub(crate) use evacuate::evacuate;
pub(crate) use explain::explain;
pub(crate) use get::get;
pub(crate) use history::history;
pub(crate) use jobs::jobs;
pub(crate) use publish::publish;
pub(crate) use report_burn::report_burn;
pub(crate) use report_losses::report_losses;
pub(crate) use status::status;
