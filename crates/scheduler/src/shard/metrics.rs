use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Counters over all shards of this process.
#[derive(Clone, Debug, Default)]
pub struct ShardMetrics {
    /// Runs that passed their deadline while active.
    pub overdue_runs: Counter,
    /// Attempts recorded as lost, because their worker restarted or was silent past its leases.
    pub lost_attempts: Counter,
    /// Ends that workers reported of attempts recorded as lost.
    pub late_ends: Counter,
    /// Records written by this process that the fold refused.
    pub refused_records: Counter,
    /// Appends that were begun, retries included.
    pub appends: Counter,
    /// Appends that failed or were not answered in time.
    pub failed_appends: Counter,
    /// Snapshots that were begun, whether or not the append succeeded.
    pub snapshots: Counter,
    /// Evictions ordered because an attempt slowed down the services on its worker.
    pub interference_evictions: Counter,
    /// Shards owned by this process in which nothing may start, because of an evacuation or of an
    /// outdated view of the operators' records.
    pub held_shards: Gauge,
    /// Starts that were recorded, but not sent for one of these reasons.
    pub held_starts: Counter,
    /// Attempts stopped because their run leaves an evacuated failure domain.
    pub evacuated_attempts: Counter,
    /// Runs that have left an evacuated failure domain.
    pub moved_runs: Counter,
    /// Evictions ordered to make room for urgent tasks.
    pub evictions: Counter,
}

impl ShardMetrics {
    /// Registers the counters as `scheduler_*`.
    pub fn register(&self, registry: &mut Registry) {
        let entries = [
            (
                "overdue_runs",
                "Runs past their deadline",
                &self.overdue_runs,
            ),
            (
                "lost_attempts",
                "Attempts given up as lost",
                &self.lost_attempts,
            ),
            (
                "late_ends",
                "Ends reported of attempts that had been given up as lost",
                &self.late_ends,
            ),
            (
                "refused_records",
                "Own records refused",
                &self.refused_records,
            ),
            (
                "appends",
                "Batches appended to shard streams",
                &self.appends,
            ),
            (
                "failed_appends",
                "Appends without a good answer",
                &self.failed_appends,
            ),
            ("snapshots", "Snapshots appended", &self.snapshots),
            (
                "interference_evictions",
                "Attempts evicted for the services beside them",
                &self.interference_evictions,
            ),
            (
                "held_starts",
                "Recorded starts not sent because of an evacuation or an outdated view",
                &self.held_starts,
            ),
            (
                "evacuated_attempts",
                "Attempts stopped because their run leaves",
                &self.evacuated_attempts,
            ),
            (
                "moved_runs",
                "Runs that have left for another failure domain",
                &self.moved_runs,
            ),
            (
                "evictions",
                "Attempts evicted for urgent tasks",
                &self.evictions,
            ),
        ];
        registry.register(
            "scheduler_held_shards",
            "Owned shards in which nothing may start",
            self.held_shards.clone(),
        );
        for (name, help, counter) in entries {
            registry.register(format!("scheduler_{name}"), help, counter.clone());
        }
    }
}
