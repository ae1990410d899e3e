//! The decisions of a cell's owner, without a network.

mod fixture;
mod generated_faults;
mod model;
mod takeovers;
