use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use dotterelhook_kernel::Metrics;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use spdlog::warn;
use tokio::time::Instant;

const LOG_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Default)]
struct LogThrottle {
    suppressed_until: Option<Instant>,
    suppressed_lines: u64,
}

/// Counts refused input by reason and logs refusals at a limited rate.
#[derive(Debug)]
pub(crate) struct Refusals {
    subsystem: &'static str,
    counters: Family<ReasonLabel, Counter>,
    throttle: Mutex<LogThrottle>,
}

impl Refusals {
    /// Creates the counter of one subsystem, whose name prefixes the log lines.
    pub(crate) fn new(subsystem: &'static str) -> Self {
        Self {
            subsystem,
            counters: Family::default(),
            throttle: Mutex::default(),
        }
    }

    /// Registers the counter under a metric name.
    pub(crate) fn register(&self, metrics: &Metrics, name: &'static str, help: &'static str) {
        metrics.register(|registry| registry.register(name, help, self.counters.clone()));
    }

    /// Counts one refusal and logs its cause unless another was logged within `LOG_INTERVAL`.
    pub(crate) fn record(&self, reason: &'static str, cause: impl fmt::Display) {
        self.counters.get_or_create(&ReasonLabel { reason }).inc();
        let now = Instant::now();
        let mut throttle = self.throttle.lock().unwrap_or_else(PoisonError::into_inner);
        if throttle.suppressed_until.is_some_and(|until| now < until) {
            throttle.suppressed_lines += 1;
            return;
        }
        let suppressed_lines = std::mem::take(&mut throttle.suppressed_lines);
        throttle.suppressed_until = Some(now + LOG_INTERVAL);
        warn!(
            "{}: {cause} ({suppressed_lines} refusals were not logged since the last such line)",
            self.subsystem
        );
    }
}
