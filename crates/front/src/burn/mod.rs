//! Error-budget burn: how each service meets its objective, and the causes of bad answers.

mod burn_report;
mod burn_tracker;

pub use burn_report::BURN_WINDOWS;
pub use burn_report::ServiceBurn;
pub use burn_report::WindowBurn;
pub use burn_tracker::BurnTracker;
