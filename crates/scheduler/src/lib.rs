//! Batch work: runs are accepted, placed on workers under leases, and accounted for.

mod api;
pub mod interference;
pub mod placement;
pub mod quota;
mod run_ledger;
mod scheduler_service;
pub mod shard;
mod worker;

pub use run_ledger::RunLedger;
pub use run_ledger::ShardCommand;
pub use run_ledger::SubmitError;
pub use scheduler_service::SchedulerService;
pub use scheduler_service::SchedulerSettings;
