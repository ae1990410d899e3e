//! Daemons as real processes between callers and a platform in the test's own process.

mod bad_input;
mod both_parts;
mod fixture;
