//! Tests of a cell's state machine, without a network.

mod bursts;
mod double_runs;
mod fixture;
mod gangs;
mod generated_events;
mod generated_faults;
mod given_up_runs;
mod load;
mod orders;
mod outages;
mod pending;
mod preferred_placement;
mod probation;
mod simulated_executor;
mod tails;
mod takeovers;
mod tickets;
