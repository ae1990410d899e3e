use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_state::config::Objective;
use dotterelhook_types::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The windows of a report, shortest first.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(6 * 60 * 60),
    Duration::from_secs(24 * 60 * 60),
];

/// What a service did in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window in seconds.
    pub window_s: u64,
    /// Requests that count.
    pub total: u64,
    /// Those answered within the objective's latency.
    pub good: u64,
    /// The others by cause.
    pub bad_by_cause: BTreeMap<Box<str>, u64>,
}

impl WindowBurn {
    /// Adds what another front counted in the same window.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.good += other.good;
        for (cause, count) in &other.bad_by_cause {
            *self.bad_by_cause.entry(cause.clone()).or_default() += count;
        }
    }

    /// Returns the share of good answers in percent; none without requests.
    pub fn attainment_percent(&self) -> Option<f64> {
        (self.total > 0).then(|| 100.0 * self.good as f64 / self.total as f64)
    }

    /// Returns how many times faster than allowed the error budget is spent.
    pub fn burn_rate(&self, objective: &Objective) -> Option<f64> {
        let attained = self.attainment_percent()?;
        Some((100.0 - attained) / (100.0 - objective.good_percent))
    }
}

/// What a service did in each window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// Its objective.
    pub objective: Objective,
    /// One entry for each of the windows.
    pub windows: Vec<WindowBurn>,
}
