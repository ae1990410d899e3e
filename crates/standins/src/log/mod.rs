//! A stand-in for the platform's log.

mod log_server;

pub use log_server::LogServer;
