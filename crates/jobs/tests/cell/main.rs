//! The decisions of a cell's owner, without a network.

mod bursts;
mod fixture;
mod gangs;
mod generated_faults;
mod load;
mod model;
mod tails;
mod takeovers;
mod tickets;
