//! Scheduler for batch work: admits runs, places their tasks on workers under leases, and accounts
//! for every attempt.

mod api;
mod evacuation;
pub mod interference;
pub mod placement;
pub mod quota;
pub mod relocation;
mod run_commands;
mod scheduler_service;
pub mod shard;
mod worker;

pub use run_commands::RunCommandError;
pub use run_commands::RunLister;
pub use run_commands::ShardCommand;
pub use scheduler_service::SchedulerService;
pub use scheduler_service::SchedulerSettings;
