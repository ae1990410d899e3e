//! A stand-in for the platform's append-only log.

mod log_server;

pub use log_server::LogServer;
