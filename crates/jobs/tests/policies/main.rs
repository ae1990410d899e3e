//! Tests of the policies, each against the load pattern that the policy is for.

mod configuration;
mod fixture;
mod interference;
mod order;
mod placement;
mod placement_wait;
