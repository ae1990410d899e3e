//! Policies, each against the load pattern that it answers.

mod configuration;
mod fixture;
mod interference;
mod order;
mod placement;
