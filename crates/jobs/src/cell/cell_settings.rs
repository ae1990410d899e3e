use std::time::Duration;

use crate::fleet::ExecutorClock;
use crate::platform::StoreLimits;
use crate::policy::PlacementWait;

/// The settings of the cells that a host owns.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// The number of cells in the deployment; all hosts must have the same value.
    pub cell_count: u32,
    /// The duration of a lease; runs end if it is not renewed.
    pub lease: Duration,
    /// How long an executor may hold a renewal (long poll) until a run ends.
    pub renewal_hold: Duration,
    /// The shortest timeout for an executor's answer, in addition to the hold of a renewal.
    pub order_timeout: Duration,
    /// How long an owner may start runs and renew leases after its last accepted append.
    pub renewal_right: Duration,
    /// The interval between two appends of an owner to the store.
    pub commit_interval: Duration,
    /// The limits of the store on the records of an owner.
    pub store_limits: StoreLimits,
    /// The longest time from an executor's answer to a stop until the run has ended.
    pub stop_max: Duration,
    /// Whether executors refuse orders whose fencing token is lower than one that they have seen.
    pub executors_enforce_fences: bool,
    /// How long a finished job is retained.
    pub retention: Duration,
    /// How long before its due time an occurrence may start.
    pub early_max: Duration,
    /// How long a host remains a group member without a heartbeat.
    pub membership_ttl: Duration,
    /// Limits the runs on executors that are slow after their start, if the deployment sets limits.
    pub cold_limits: Option<ColdLimits>,
    /// How work waits for a preferred placement; without it, no work does.
    pub placement_wait: Option<PlacementWait>,
}

/// How many runs an executor that is slow after its start may get beyond its share of its pool's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// The multiple of its share.
    pub overage: f64,
    /// The further runs.
    pub burst: u32,
}

impl CellSettings {
    /// Returns the time after a takeover at which all leases of former owners have expired.
    ///
    /// A former owner renews leases until its last accepted append is older than `renewal_right`. The
    /// store accepted that append before the takeover, whose claim fences later ones.
    pub fn former_lease_lifetime_max(&self) -> Duration {
        self.renewal_right + ExecutorClock::lapse_after(self.lease)
    }

    /// Returns the longest timeout for an executor's answer.
    ///
    /// After a held renewal that gets no answer, there is time for a report over a new connection and
    /// for a renewal to reach the executor.
    pub fn order_timeout_max(&self) -> Duration {
        (self.lease.saturating_sub(self.renewal_hold) / 3).max(self.order_timeout)
    }

    /// Returns the time without a report after which an executor receives no new runs.
    pub fn silence_max(&self) -> Duration {
        self.renewal_hold + self.order_timeout
    }
}
