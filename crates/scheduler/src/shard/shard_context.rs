use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::worker::WorkerAgents;
use dotterelhook_peer::config::ConfigView;
use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_state::shard::ShardId;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;

use super::ShardMetrics;
use crate::interference::InterferenceController;
use crate::placement::EvictionPolicy;
use crate::placement::Placer;

const DRIFT_PERCENT: u32 = 1;
const RENEWAL_RIGHT: Duration = Duration::from_secs(3 * 3_600);

/// The times on which the safety of leases rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardTimes {
    /// The time for which a worker may run an attempt without a renewal.
    pub lease: Duration,
    /// How long an owner may start and renew after its last contact with the log; the same in
    /// all processes.
    pub renewal_right: Duration,
    /// How long an owner waits after a worker's last answer before it gives attempts up.
    pub lapse_wait: Duration,
}

impl ShardTimes {
    /// Derives the times from the lease; clocks may differ in rate by one percent.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            renewal_right: RENEWAL_RIGHT,
            lapse_wait: with_drift(lease),
        }
    }

    /// Returns how long a successor waits before a predecessor's leases are over for certain.
    pub fn takeover_wait(&self) -> Duration {
        with_drift(self.renewal_right) + self.lapse_wait
    }
}

fn with_drift(time: Duration) -> Duration {
    time + time * DRIFT_PERCENT / 100
}

/// What a shard's task works with.
#[derive(Clone)]
pub struct ShardContext {
    /// The shard.
    pub shard: ShardId,
    /// This entry host.
    pub host: HostId,
    /// This process.
    pub incarnation: Incarnation,
    /// The number of shards of the failure domain.
    pub shard_count: u32,
    /// The times on which leases rest.
    pub times: ShardTimes,
    /// Time between appends to the shard's stream.
    pub commit_interval: Duration,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The platform's host list.
    pub hosts: Arc<dyn HostView>,
    /// The daemons that are alive.
    pub membership: Arc<dyn MembershipView>,
    /// Connections to workers.
    pub agents: Arc<dyn WorkerAgents>,
    /// The configuration in force, which holds the teams' quotas.
    pub config: Arc<dyn ConfigView>,
    /// Creates what chooses the next starts.
    pub new_placer: fn() -> Box<dyn Placer>,
    /// Creates what protects services from the batch work beside them.
    pub new_controller: fn() -> Box<dyn InterferenceController>,
    /// Chooses which attempts make room for urgent tasks.
    pub eviction: Arc<dyn EvictionPolicy>,
    /// The counts.
    pub metrics: ShardMetrics,
}
