//! Tests of complete shard owners in simulated time, with an in-memory log and simulated workers.

mod accounts;
mod crash_loops;
mod evacuations;
mod faults;
mod late_ends;
mod panics;
mod policy;
mod relocations;
mod takeovers;
mod world;
