//! Tests of a cell's state machine, without a network.

mod bursts;
mod capacity;
#[allow(dead_code, reason = "the tests of the fix use the rest")]
mod crash_world;
mod departures;
mod double_runs;
mod evacuations;
mod executor_crashes;
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
mod preferred_placement;
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
