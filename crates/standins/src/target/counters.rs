use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// What a target counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests whose handler ran.
    pub executed: u64,
    /// Requests whose handler ran before with the same id.
    pub repeated: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests whose handler runs now.
    pub in_flight: u64,
    /// The most handlers that ran at once.
    pub in_flight_max: u64,
    /// Connections that are open now.
    pub connections: u64,
    /// The most connections that were open at once.
    pub connections_max: u64,
    /// How often each id ran.
    pub by_id: HashMap<Box<str>, u32>,
}

/// Counters behind a lock.
#[derive(Debug, Default)]
pub(super) struct SharedCounters {
    inner: Mutex<Counters>,
}

impl SharedCounters {
    /// Reads or changes the counters.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut Counters) -> T) -> T {
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a slot for a request, unless all are taken.
    pub(super) fn begin(&self, id: Option<&str>, slots: u64) -> bool {
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
