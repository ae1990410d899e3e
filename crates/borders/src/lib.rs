//! Clients of outside systems: the platform's log and host list, workers' agents, and the clock.
//!
//! Each system is a trait with a production implementation, over HTTP except for the clock. Fakes
//! for tests implement the same traits in memory.

pub mod clock;
pub mod hosts;
pub mod http;
pub mod log;
pub mod worker;
