//! How far each service keeps its objective, and what it lost to which cause.

mod burn_report;
mod burn_tracker;

pub use burn_report::BURN_WINDOWS;
pub use burn_report::ServiceBurn;
pub use burn_report::WindowBurn;
pub use burn_tracker::BurnTracker;
