//! Jobs that carry their own steps, run by executors under leases.
//!
//! Clients submit jobs to any host; the submission is a record of the platform's store. Each job
//! belongs to a cell, and each cell has one owner among the hosts, which places tasks on the
//! cell's executors, renews their leases and records how far each job is.

pub mod cell;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod ledger;
pub mod model;
pub mod observe;
pub mod ownership;
pub mod platform;
pub mod policy;
pub mod store_access;
