//! Deterministic folds of platform log records into state: the published configuration, and the
//! batch work of a shard. All processes that apply the same records hold the same state.

pub mod config;
pub mod shard;
