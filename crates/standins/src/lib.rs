//! Stand-ins for the systems around the scheduler, for tests, benches and demonstrations.
//!
//! The log, the host list, workers' agents and targets run over HTTP with injectable faults. The
//! crate also holds a load generator, a fault run over real processes and a model of the
//! interference between services and batch tasks.

pub mod faults;
pub mod hosts;
pub mod interference;
pub mod link;
pub mod load;
pub mod log;
pub mod ports;
pub mod server;
pub mod target;
pub mod worker;
