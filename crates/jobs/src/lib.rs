//! Scheduling of multi-step batch jobs on executors that run tasks under leases.
//!
//! Clients submit jobs to any host, which stores each submission as a record in the platform's
//! store. Jobs are partitioned into cells, and each cell has one owner among the hosts. The owner
//! places tasks on the cell's executors, renews their leases and stores the progress of each job.

pub mod admission;
pub mod cell;
pub mod config;
pub mod entry;
pub mod evacuation;
pub mod fleet;
pub mod ledger;
pub mod model;
pub mod observe;
pub mod ownership;
pub mod platform;
pub mod policy;
pub mod store_access;
