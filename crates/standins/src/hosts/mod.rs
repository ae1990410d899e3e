//! A stand-in for the platform's list of hosts.

mod host_server;
mod register;

pub use host_server::HostServer;
pub use register::register;
