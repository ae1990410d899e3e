use std::sync::atomic::AtomicU64;
use std::time::Duration;

use dotterelhook_kernel::Metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

/// The bucket bounds of latency histograms, in seconds, from a fast answer of the store to a late
/// job.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0];

/// The labels of counters by operation and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The kind of the operation.
    pub kind: &'static str,
    /// The outcome of the operation.
    pub outcome: &'static str,
}

/// The labels of the runs that are left in an evacuated failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EvacuationLabels {
    /// The cell of the runs.
    pub cell: u32,
    /// The evacuated failure domain.
    pub domain: String,
    /// What the runs wait for.
    pub kind: &'static str,
}

/// The counters and latency histograms of one process.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    /// The number of clients' calls by kind and outcome.
    pub calls: Family<OutcomeLabels, Counter>,
    /// The number of submissions that were refused for lack of capacity.
    pub capacity_refusals: Counter,
    /// The number of calls to the store by kind and outcome.
    pub store_calls: Family<OutcomeLabels, Counter>,
    /// The number of an owner's records that the store never takes.
    pub rejected_records: Counter,
    /// The number of orders to executors by kind and outcome.
    pub orders: Family<OutcomeLabels, Counter>,
    /// The number of crashed executors by what showed the crash.
    pub executor_crashes: Family<OutcomeLabels, Counter>,
    /// The number of tasks that were given up because they crash their executors.
    pub tasks_given_up: Counter,
    /// The number of takeovers of cells.
    pub takeovers: Counter,
    /// The number of runs that are left in each evacuated failure domain, by kind.
    pub evacuation_runs: Family<EvacuationLabels, Gauge>,
    /// The number of runs stopped for evacuations, by kind: `held-back` or `leaving`.
    pub evacuation_stops: Family<OutcomeLabels, Counter>,
    /// The age of the view of the operators' requests, in seconds.
    pub operator_view_seconds: Gauge<f64, AtomicU64>,
    /// The number of ended waits for a preferred placement, by outcome.
    pub placement_waits: Family<OutcomeLabels, Counter>,
    /// The sum of the expected gains of waits, in seconds.
    pub placement_wait_expected_gain_seconds: Gauge<f64, AtomicU64>,
    /// The sum of the actual gains of waits, in seconds; waits without success count as a loss.
    pub placement_wait_actual_gain_seconds: Gauge<f64, AtomicU64>,
    /// The latency of clients' calls, in seconds.
    pub call_seconds: Histogram,
    /// The latency of calls to the store, in seconds; for a read, including the wait for records.
    pub store_seconds: Histogram,
    /// The duration of takeovers of cells, in seconds.
    pub takeover_seconds: Histogram,
}

impl Default for JobMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(LATENCY_BUCKETS_S);
        Self {
            calls: Family::default(),
            capacity_refusals: Counter::default(),
            store_calls: Family::default(),
            rejected_records: Counter::default(),
            orders: Family::default(),
            executor_crashes: Family::default(),
            tasks_given_up: Counter::default(),
            takeovers: Counter::default(),
            evacuation_runs: Family::default(),
            evacuation_stops: Family::default(),
            operator_view_seconds: Gauge::default(),
            placement_waits: Family::default(),
            placement_wait_expected_gain_seconds: Gauge::default(),
            placement_wait_actual_gain_seconds: Gauge::default(),
            call_seconds: histogram(),
            store_seconds: histogram(),
            takeover_seconds: histogram(),
        }
    }
}

impl JobMetrics {
    /// Registers the metrics for export on the metrics address.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            registry.register("calls", "Clients' calls", self.calls.clone());
            registry.register(
                "capacity_refusals",
                "Submissions refused for lack of capacity",
                self.capacity_refusals.clone(),
            );
            registry.register(
                "store_calls",
                "Calls to the store",
                self.store_calls.clone(),
            );
            let help = "Records that the store never takes";
            registry.register("rejected_records", help, self.rejected_records.clone());
            registry.register("orders", "Orders to executors", self.orders.clone());
            let crashes = self.executor_crashes.clone();
            registry.register("executor_crashes", "Crashed executors", crashes);
            let help = "Tasks given up because they crash their executors";
            registry.register("tasks_given_up", help, self.tasks_given_up.clone());
            registry.register("takeovers", "Takeovers of cells", self.takeovers.clone());
            let help = "Runs left in evacuated failure domains";
            registry.register("evacuation_runs", help, self.evacuation_runs.clone());
            let help = "Runs stopped for evacuations";
            registry.register("evacuation_stops", help, self.evacuation_stops.clone());
            let help = "Age of the view of the operators' requests";
            let age = self.operator_view_seconds.clone();
            registry.register("operator_view_seconds", help, age);
            let help = "Ended waits for a preferred placement";
            registry.register("placement_waits", help, self.placement_waits.clone());
            registry.register(
                "placement_wait_expected_gain_seconds",
                "Time that waits for a preferred placement were expected to gain",
                self.placement_wait_expected_gain_seconds.clone(),
            );
            registry.register(
                "placement_wait_actual_gain_seconds",
                "Time that waits for a preferred placement gained",
                self.placement_wait_actual_gain_seconds.clone(),
            );
            let help = "Time to answer a client";
            registry.register("call_seconds", help, self.call_seconds.clone());
            let help = "Time of a call to the store";
            registry.register("store_seconds", help, self.store_seconds.clone());
            let help = "Time to take a cell over";
            registry.register("takeover_seconds", help, self.takeover_seconds.clone());
        });
    }

    /// Counts a call to the store and records its latency.
    pub fn count_store_call(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        self.store_calls
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
        self.store_seconds.observe(took.as_secs_f64());
    }

    /// Counts runs that were stopped for evacuations.
    pub fn count_evacuation_stops(&self, kind: &'static str, count: u64) {
        let outcome = "stopped";
        let labels = OutcomeLabels { kind, outcome };
        self.evacuation_stops.get_or_create(&labels).inc_by(count);
    }

    /// Counts an order to an executor by kind and outcome.
    pub fn count_order(&self, kind: &'static str, outcome: &'static str) {
        self.orders
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
    }

    /// Counts a crashed executor by what showed the crash.
    pub fn count_executor_crash(&self, outcome: &'static str) {
        let kind = "crash";
        self.executor_crashes
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
    }

    /// Counts an ended wait for a preferred placement.
    pub fn count_placement_wait(&self, outcome: &'static str) {
        let kind = "placement-wait";
        self.placement_waits
            .get_or_create(&OutcomeLabels { kind, outcome })
            .inc();
    }

    /// Adds the expected gain of a wait that begins.
    pub fn add_expected_gain(&self, gain_ms: f64) {
        self.placement_wait_expected_gain_seconds
            .inc_by(gain_ms / 1_000.0);
    }

    /// Adds the actual gain of a wait.
    pub fn add_actual_gain(&self, gain_ms: f64) {
        self.placement_wait_actual_gain_seconds
            .inc_by(gain_ms / 1_000.0);
    }
}
