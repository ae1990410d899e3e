//! Choice of the running attempts to evict for urgent tasks.

mod eviction_policy;
mod fewest_victims;
mod worker_load;

pub use eviction_policy::Eviction;
pub use eviction_policy::EvictionContext;
pub use eviction_policy::EvictionPolicy;
pub use fewest_victims::FewestVictims;
pub use worker_load::RunningAttempt;
pub use worker_load::WorkerLoad;
