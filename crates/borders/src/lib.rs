//! The borders to the users' platform: log, host list, workers and the clock.
//!
//! Each border is a trait with an HTTP adapter and an in-memory fake.

pub mod clock;
pub mod hosts;
pub mod http;
pub mod log;
pub mod worker;
