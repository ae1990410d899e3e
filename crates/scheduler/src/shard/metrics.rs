use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// Counts of all shards of this process.
#[derive(Clone, Debug, Default)]
pub struct ShardMetrics {
    /// Runs that passed their deadline while active.
    pub overdue_runs: Counter,
    /// Attempts that were given up as lost.
    pub lost_attempts: Counter,
    /// Own records that the fold refused.
    pub refused_records: Counter,
    /// Batches that were appended.
    pub appends: Counter,
    /// Appends without a good answer.
    pub failed_appends: Counter,
    /// Snapshots that were appended.
    pub snapshots: Counter,
    /// Attempts evicted because they slowed services down.
    pub interference_evictions: Counter,
    /// Attempts evicted to make room for urgent tasks.
    pub evictions: Counter,
}

impl ShardMetrics {
    /// Registers the counts.
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
                "evictions",
                "Attempts evicted for urgent tasks",
                &self.evictions,
            ),
        ];
        for (name, help, counter) in entries {
            registry.register(format!("scheduler_{name}"), help, counter.clone());
        }
    }
}
