//! A stand-in for the platform's host list.

mod host_list_server;
mod register;

pub use host_list_server::HostListServer;
pub use register::register;
