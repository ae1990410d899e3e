use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// The request and connection counts of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests whose handler started, including those answered under [`Fault::FailFast`].
    ///
    /// [`Fault::FailFast`]: crate::server::Fault::FailFast
    pub executed: u64,
    /// Requests whose handler started although a request with the same id had run before.
    pub repeated: u64,
    /// Requests refused for lack of a free slot; their handler did not start.
    pub refused: u64,
    /// Requests whose handler is running.
    pub in_flight: u64,
    /// The peak of `in_flight`.
    pub in_flight_max: u64,
    /// Open connections.
    pub connections: u64,
    /// The peak of `connections`.
    pub connections_max: u64,
    /// The number of handler starts of each request id.
    pub by_id: HashMap<Box<str>, u32>,
}

#[derive(Debug, Default)]
pub(super) struct SharedCounters {
    inner: Mutex<Counters>,
}

impl SharedCounters {
    /// Calls a function with the counters under the lock.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Counters) -> T) -> T {
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Acquires a slot for a request and counts the start, or counts a refusal if none is free.
    pub(super) fn try_begin(&self, id: Option<&str>, slots: u64) -> bool {
        self.with(|counters| {
            if counters.in_flight >= slots {
                counters.refused += 1;
                return false;
            }
            counters.in_flight += 1;
            counters.in_flight_max = counters.in_flight_max.max(counters.in_flight);
            counters.executed += 1;
            if let Some(id) = id {
                let times = counters.by_id.entry(id.into()).or_default();
                *times += 1;
                counters.repeated += u64::from(*times > 1);
            }
            true
        })
    }
}
