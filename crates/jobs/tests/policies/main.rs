//! Tests of the policies, each against the load pattern that the policy is for.

mod configuration;
mod fixture;
mod interference;
mod operator_view;
mod order;
mod placement;
mod placement_wait;
mod run_times;
mod shares;
mod speeds;
