//! Scheduler for batch work: admits runs, places their tasks on workers under leases, and accounts
//! for every attempt.

mod api;
pub mod interference;
pub mod placement;
pub mod quota;
mod run_ledger;
mod scheduler_service;
pub mod shard;
mod worker;

pub use run_ledger::RunCommandError;
pub use run_ledger::RunLedger;
pub use run_ledger::ShardCommand;
pub use scheduler_service::SchedulerService;
pub use scheduler_service::SchedulerSettings;
