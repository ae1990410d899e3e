//! Tests of a cell's state machine, without a network.

mod bursts;
mod capacity;
mod departures;
mod double_runs;
mod evacuations;
mod fixture;
mod gangs;
mod generated_evacuations;
mod generated_events;
mod generated_faults;
mod given_up_runs;
mod load;
mod malformed;
mod orders;
mod outages;
mod pending;
mod probation;
mod ramp_ups;
mod run_times;
mod shortage;
mod shortage_load;
mod simulated_executor;
mod speeds;
mod tails;
mod takeovers;
mod tickets;
