//! What the front counts, and its log lines of refusals and losses.

mod front_metrics;
mod loss_log;

pub use front_metrics::FrontMetrics;
pub use loss_log::LossLog;
