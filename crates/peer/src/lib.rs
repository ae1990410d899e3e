//! What daemons know together: the configuration in force, the host list and each other.

pub mod config;
pub mod hosts;
pub mod membership;
mod refusals;
pub mod rpc;
