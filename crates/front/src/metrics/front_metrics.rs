use dotterelhook_kernel::Metrics;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::ServiceName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use crate::request::Cause;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    service: String,
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LossLabels {
    service: String,
    cause: &'static str,
    verdict: &'static str,
}

/// Counters and gauges of the front, by service.
#[derive(Debug, Default)]
pub struct FrontMetrics {
    requests: Family<ServiceLabels, Counter>,
    good: Family<ServiceLabels, Counter>,
    slow: Family<ServiceLabels, Counter>,
    losses: Family<LossLabels, Counter>,
    retries: Family<CauseLabels, Counter>,
    forwards: Family<CauseLabels, Counter>,
    waiting: Family<ServiceLabels, Gauge>,
    ejected: Family<ServiceLabels, Gauge>,
}

impl FrontMetrics {
    /// Registers all metrics under the prefix `dotterelhook_front`.
    pub fn register(&self, metrics: &Metrics) {
        metrics.register(|registry| {
            let front = registry.sub_registry_with_prefix("dotterelhook_front");
            front.register("requests", "Requests of callers", self.requests.clone());
            let help = "Answers within the latency objective";
            front.register("good_answers", help, self.good.clone());
            let help = "Answers later than the latency objective";
            front.register("slow_answers", help, self.slow.clone());
            let help = "Requests refused or lost";
            front.register("losses", help, self.losses.clone());
            front.register("retries", "Tries after the first", self.retries.clone());
            let help = "Requests sent to other failure domains";
            front.register("forwards", help, self.forwards.clone());
            let help = "Requests that wait for a slot";
            front.register("waiting", help, self.waiting.clone());
            let help = "Targets that get no work but probes";
            front.register("ejected_targets", help, self.ejected.clone());
        });
    }

    /// Counts a request on arrival.
    pub fn count_request(&self, service: &ServiceName) {
        self.requests.get_or_create(&labels(service)).inc();
    }

    /// Counts an answer as good if it met the latency objective, else as slow, whatever its status.
    pub fn count_answer(&self, service: &ServiceName, is_in_time: bool) {
        let family = if is_in_time { &self.good } else { &self.slow };
        family.get_or_create(&labels(service)).inc();
    }

    /// Counts a refused or lost request; the service label is empty if no service has the path.
    pub fn count_loss(&self, service: Option<&ServiceName>, cause: Cause, verdict: Verdict) {
        let labels = LossLabels {
            service: service.map(ToString::to_string).unwrap_or_default(),
            cause: cause.name(),
            verdict: verdict.into(),
        };
        self.losses.get_or_create(&labels).inc();
    }

    /// Counts a retry by the cause of the failed attempt.
    pub fn count_retry(&self, service: &ServiceName, cause: Cause) {
        let labels = CauseLabels {
            service: service.to_string(),
            cause: cause.name(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a request forwarded to another failure domain, by the cause of its failure here.
    pub fn count_forward(&self, service: &ServiceName, cause: Cause) {
        let labels = CauseLabels {
            service: service.to_string(),
            cause: cause.name(),
        };
        self.forwards.get_or_create(&labels).inc();
    }

    /// Sets the numbers of waiting requests and of ejected targets.
    pub fn set_gauges(&self, service: &ServiceName, waiting: usize, ejected: usize) {
        let labels = labels(service);
        self.waiting.get_or_create(&labels).set(waiting as i64);
        self.ejected.get_or_create(&labels).set(ejected as i64);
    }
}

fn labels(service: &ServiceName) -> ServiceLabels {
    ServiceLabels {
        service: service.to_string(),
    }
}
