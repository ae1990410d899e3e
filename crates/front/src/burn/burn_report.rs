use std::collections::BTreeMap;
use std::time::Duration;

use dotterelhook_state::config::Objective;
use dotterelhook_types::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The windows over which burn is reported, shortest first.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(6 * 60 * 60),
    Duration::from_secs(24 * 60 * 60),
];

/// A service's counts in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The length of the window in seconds.
    pub window_s: u64,
    /// The number of requests that count for the objective.
    pub total: u64,
    /// The number of requests answered without an error within the objective's latency.
    pub good: u64,
    /// The numbers of all other requests that count, by cause label.
    pub bad_by_cause: BTreeMap<Box<str>, u64>,
}

impl WindowBurn {
    /// Adds another front's counts of the same window.
    pub fn merge(&mut self, other: &Self) {
        self.total += other.total;
        self.good += other.good;
        for (cause, count) in &other.bad_by_cause {
            *self.bad_by_cause.entry(cause.clone()).or_default() += count;
        }
    }

    /// Returns the share of good answers in percent, or `None` without requests.
    pub fn attainment_percent(&self) -> Option<f64> {
        (self.total > 0).then(|| 100.0 * self.good as f64 / self.total as f64)
    }

    /// Returns the burn rate: 1 spends the error budget exactly as fast as the objective allows.
    pub fn burn_rate(&self, objective: &Objective) -> Option<f64> {
        let attained = self.attainment_percent()?;
        Some((100.0 - attained) / (100.0 - objective.good_percent))
    }
}

/// A service's counts in every window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service's name.
    pub service: ServiceName,
    /// The objective against which the latest request was counted.
    pub objective: Objective,
    /// One entry for each of [`BURN_WINDOWS`], in the same order.
    pub windows: Vec<WindowBurn>,
}
