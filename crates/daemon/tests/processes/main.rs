//! Tests against daemons as real processes. Callers and the platform run in the test's process.

mod bad_input;
mod both_parts;
mod crowds;
mod fixture;
mod jobs_daemon;
