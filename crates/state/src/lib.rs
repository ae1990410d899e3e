//! State as a deterministic fold over the platform log: configuration and shards of batch work.

pub mod config;
pub mod shard;
