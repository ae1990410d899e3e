//! One task for each shard: it follows the shard's stream and, as owner, moves work on.

mod appender;
mod reader;
mod shard_task;

pub(crate) use shard_task::ShardContext;
pub(crate) use shard_task::spawn_shard_task;
