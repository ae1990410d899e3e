//! Observability of a process: the log of its decisions, and metrics.

mod decision;
mod job_metrics;

pub use decision::Decision;
pub(crate) use decision::decided;
pub use job_metrics::EvacuationLabels;
pub use job_metrics::JobMetrics;
pub use job_metrics::OutcomeLabels;
