//! Metrics of the front, and rate-limited log lines of refused and lost requests.

mod front_metrics;
mod loss_log;

pub use front_metrics::FrontMetrics;
pub use loss_log::LossLog;
