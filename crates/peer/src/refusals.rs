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

const LOG_PAUSE: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Default)]
struct Quiet {
    until: Option<Instant>,
    unlogged: u64,
}

/// Counts input of peers that was refused, and logs it at a limited rate.
#[derive(Debug)]
pub(crate) struct Refusals {
    part: &'static str,
    counters: Family<ReasonLabel, Counter>,
    quiet: Mutex<Quiet>,
}

impl Refusals {
    /// Creates the count of one part, which is the prefix of its log lines.
    pub(crate) fn new(part: &'static str) -> Self {
        Self {
            part,
            counters: Family::default(),
            quiet: Mutex::default(),
        }
    }

    /// Registers the counter under a name.
    pub(crate) fn register(&self, metrics: &Metrics, name: &'static str, help: &'static str) {
        metrics.register(|registry| registry.register(name, help, self.counters.clone()));
    }

    /// Counts one refusal; at most one in ten seconds is logged.
    pub(crate) fn add(&self, reason: &'static str, cause: impl fmt::Display) {
        self.counters.get_or_create(&ReasonLabel { reason }).inc();
        let now = Instant::now();
        let mut quiet = self.quiet.lock().unwrap_or_else(PoisonError::into_inner);
        if quiet.until.is_some_and(|until| now < until) {
            quiet.unlogged += 1;
            return;
        }
        let unlogged = std::mem::take(&mut quiet.unlogged);
        quiet.until = Some(now + LOG_PAUSE);
        warn!(
            "{}: {cause} (not logged since the last such line: {unlogged})",
            self.part
        );
    }
}
