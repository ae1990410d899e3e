//! Tests of accepting clients' records while the store fails, and of stored records and names.

mod bodies;
mod capacity;
mod fake_store;
mod feeds;
mod members;
mod recent_jobs;
mod submissions;
mod writer;
