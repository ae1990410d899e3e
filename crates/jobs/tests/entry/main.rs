//! Taking records from clients while the store misbehaves.

mod fake_store;
mod feeds;
mod members;
mod writer;
