//! Stand-ins for a target, which is one executor of a latency-critical service.

mod counters;
mod raw_target;
mod target_server;

pub use counters::Counters;
pub use raw_target::AfterAnswer;
pub use raw_target::RawTarget;
pub use raw_target::ReadUpTo;
pub use raw_target::Script;
pub use target_server::TargetServer;
pub use target_server::TargetSettings;
