//! Tests of a cell's state machine, without a network.

mod bursts;
mod capacity;
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
mod probation;
mod run_times;
mod shortage;
mod shortage_load;
mod simulated_executor;
mod speeds;
mod tails;
mod takeovers;
mod tickets;
