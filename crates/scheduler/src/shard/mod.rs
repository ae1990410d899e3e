//! One task for each shard: it folds the shard's log stream into state.
//!
//! The task of the owner also records events, and starts and renews attempts on workers.

mod append_task;
mod appender;
mod commands;
mod departures;
mod interference_actions;
mod interference_monitor;
mod inventories;
mod log_pages;
mod metrics;
mod ownership;
mod pending_replies;
mod placing;
mod run_reports;
mod shard_context;
mod shard_task;
mod snapshots;
mod stream_reader;
mod workers;

pub use metrics::ShardMetrics;
pub use shard_context::LeaseTimes;
pub use shard_context::ShardContext;
pub use shard_task::new_shard_task;
