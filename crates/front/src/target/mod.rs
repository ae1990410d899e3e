//! The targets of the own failure domain and the connections to them.

mod balancing_policy;
mod health;
mod lease;
mod pool;
mod queue;
mod service_targets;
mod share;
mod target_set;

pub use balancing_policy::BalancingPolicy;
pub use health::Health;
pub use health::HealthState;
pub use health::Outcome;
pub use lease::Connection;
pub use lease::HealthReport;
pub use lease::Lease;
pub use pool::TargetPool;
pub use queue::Queue;
pub use service_targets::ServiceTargets;
pub use share::FrontCount;
pub use share::FrontView;
pub use share::HOLD;
pub use share::share;
pub use target_set::TargetSet;
