//! What is refused so that the rest is served in time.

mod admission;
mod retry_budget;

pub use admission::Admission;
pub use admission::Admitted;
pub use retry_budget::RetryBudget;
