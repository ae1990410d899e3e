//! Admission of clients' records under the loads that a slow or partly unreachable store meets.
//! Everything runs in one process on a paused clock.

mod capacity;
mod crowds;
mod queues;
mod return_times;
mod room;
mod serial_store;
