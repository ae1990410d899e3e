//! Tests of complete shard owners in simulated time, with an in-memory log and simulated workers.

mod accounts;
mod faults;
mod panics;
mod policy;
mod takeovers;
mod world;
