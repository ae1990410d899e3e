//! Whole schedulers against a log and workers in memory, on a clock that the tests move.

mod accounts;
mod faults;
mod policy;
mod takeovers;
mod world;
