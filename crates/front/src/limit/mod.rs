//! Load shedding: admission by priority and the budget for retries.

mod admission_control;
mod retry_budget;

pub use admission_control::AdmissionControl;
pub use admission_control::AdmissionPermit;
pub use retry_budget::RetryBudget;
