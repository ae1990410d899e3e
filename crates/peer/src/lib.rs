//! State that daemons share: the configuration in force, the host list, membership and peer RPC.

pub mod config;
pub mod hosts;
pub mod membership;
mod refusals;
pub mod rpc;
