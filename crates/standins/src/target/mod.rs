//! A stand-in for a target: one executor of a latency-critical service.

mod counters;
mod target_server;

pub use counters::Counters;
pub use target_server::TargetServer;
pub use target_server::TargetSettings;
