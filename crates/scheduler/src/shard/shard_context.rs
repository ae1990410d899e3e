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
use crate::relocation::OtherDomains;

/// Largest difference in rate between two clocks.
const CLOCK_DRIFT_MAX_PERCENT: u32 = 1;
/// Running attempts outlive a log outage of at most this length.
const RENEWAL_RIGHT: Duration = Duration::from_secs(3 * 3_600);

/// Durations that ensure that no task runs twice at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How long a worker may run an attempt without a renewal.
    pub lease: Duration,
    /// How long an owner may start and renew attempts after it sent its last read that reached the
    /// end of the log.
    ///
    /// All processes must use the same value, because a successor waits for it to pass.
    pub renewal_right: Duration,
    /// How long an owner waits after a worker's last answer before it records the worker's attempts
    /// as lost.
    pub expiry_wait: Duration,
}

impl LeaseTimes {
    /// Derives the durations from the lease; clocks may differ in rate by one percent.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            renewal_right: RENEWAL_RIGHT,
            expiry_wait: with_clock_drift(lease),
        }
    }

    /// Returns how long after a takeover the leases of the former owner have certainly expired.
    pub fn takeover_wait(&self) -> Duration {
        with_clock_drift(self.renewal_right) + self.expiry_wait
    }
}

fn with_clock_drift(time: Duration) -> Duration {
    time + time * CLOCK_DRIFT_MAX_PERCENT / 100
}

/// Dependencies and settings of one shard's task.
#[derive(Clone)]
pub struct ShardContext {
    /// The shard that the task follows.
    pub shard: ShardId,
    /// The host that this process runs on.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Number of shards of the failure domain; racks are assigned to shards by it.
    pub shard_count: u32,
    /// Durations of leases and of the waits that depend on them.
    pub lease_times: LeaseTimes,
    /// Interval between appends to the shard's stream.
    pub commit_interval: Duration,
    /// Log that holds the shard's stream and its snapshots.
    pub log: Arc<dyn Log>,
    /// Source of monotonic and Unix time.
    pub clock: Arc<dyn Clock>,
    /// The platform's list of hosts, which names the workers.
    pub hosts: Arc<dyn HostView>,
    /// Membership of the daemons; an owner that is not live is replaced.
    pub membership: Arc<dyn MembershipView>,
    /// Creates the clients of worker agents.
    pub worker_agents: Arc<dyn WorkerAgents>,
    /// Configuration in force; contains the teams' quotas and the evacuations.
    pub config: Arc<dyn ConfigView>,
    /// The greatest age of the configuration at which attempts may start; `None` for no limit.
    pub view_age_max: Option<Duration>,
    /// Creates the placer, which chooses the next starts.
    pub create_placer: fn() -> Box<dyn Placer>,
    /// Creates the controller that protects services from batch work on the same worker.
    pub create_controller: fn() -> Box<dyn InterferenceController>,
    /// The schedulers that may take over runs of an evacuated failure domain.
    pub other_domains: Arc<dyn OtherDomains>,
    /// Chooses the attempts to evict for urgent tasks.
    pub eviction_policy: Arc<dyn EvictionPolicy>,
    /// Counters shared by all shards of the process.
    pub metrics: ShardMetrics,
}
