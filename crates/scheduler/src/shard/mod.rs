//! One task for each shard: it follows the shard's stream and, as owner, moves work on.

mod append_task;
mod appender;
mod commands;
mod interference_watch;
mod inventories;
mod ledger;
mod metrics;
mod ownership;
mod placing;
mod protection;
mod read_back;
mod reader;
mod shard_context;
mod shard_task;
mod snapshots;
mod starts;
mod waiters;

pub use metrics::ShardMetrics;
pub use shard_context::ShardContext;
pub use shard_context::ShardTimes;
pub use shard_task::spawn_shard_task;
