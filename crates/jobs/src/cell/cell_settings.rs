use std::time::Duration;

use crate::fleet::ExecutorClock;

/// How a cell is run.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// How many cells the deployment has; all hosts must agree.
    pub cell_count: u32,
    /// For how long runs go on without a renewal.
    pub lease: Duration,
    /// How long an executor may wait for an end before it answers a renewal.
    pub renewal_hold: Duration,
    /// The longest wait for an executor's answer beyond that.
    pub order_timeout: Duration,
    /// For how long an owner renews leases after its last contact with the store.
    pub renewal_right: Duration,
    /// The time between two appends of an owner.
    pub commit_interval: Duration,
    /// How long a stop may take on an executor.
    pub stop_max: Duration,
    /// How long a finished job is remembered.
    pub retention: Duration,
    /// How early an occurrence may start.
    pub early_max: Duration,
    /// For how long a host stays in the group without a sign of life.
    pub membership_ttl: Duration,
}

impl CellSettings {
    /// Returns after how long all leases that former owners gave are over for certain.
    ///
    /// A former owner that can't be reached renews until its last contact with the store, which
    /// was before the claim, is older than its right to renew.
    pub fn former_leases_max(&self) -> Duration {
        self.renewal_right + ExecutorClock::lapse_after(self.lease)
    }

    /// Returns after how much silence an executor gets no new runs.
    pub fn silence_max(&self) -> Duration {
        self.renewal_hold + self.order_timeout
    }
}
