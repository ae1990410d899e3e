//! Small stand-ins for the users' platform and a load generator, for tests and demonstrations.

pub mod faults;
pub mod hosts;
pub mod interference;
pub mod link;
pub mod load;
pub mod log;
pub mod server;
pub mod target;
pub mod worker;
