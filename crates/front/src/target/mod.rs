//! Targets of the front's failure domain: slots, queues, health and connections.

mod balancing_policy;
mod service_targets;
mod slot_permit;
mod slot_queue;
mod slot_share;
mod target_health;
mod target_pool;
mod target_set;

pub use balancing_policy::BalancingPolicy;
pub use service_targets::ServiceTargets;
pub use slot_permit::Connection;
pub use slot_permit::HealthReporter;
pub use slot_permit::SlotPermit;
pub use slot_queue::SlotQueue;
pub use slot_share::FrontGroup;
pub use slot_share::FrontGroupTracker;
pub use slot_share::HOLD_DOWN;
pub use slot_share::slot_share;
pub use target_health::AttemptOutcome;
pub use target_health::HealthState;
pub use target_health::TargetHealth;
pub use target_pool::TargetPool;
pub use target_set::TargetSet;
