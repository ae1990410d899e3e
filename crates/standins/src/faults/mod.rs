//! A fault run over real processes.
//!
//! Daemons are killed, frozen and cut off from the log under load. The counters of the stand-ins
//! then show whether any work was lost, duplicated or wrongly refused.

mod batch_load;
mod checks;
mod cluster;
mod daemon_process;
mod fault_schedule;
mod operators;
mod request_load;

pub use batch_load::BatchLoad;
pub use checks::Finding;
pub use checks::check_batch;
pub use checks::check_operators;
pub use checks::check_requests;
pub use cluster::Cluster;
pub use cluster::ClusterSettings;
pub use daemon_process::DaemonProcess;
pub use fault_schedule::FaultSchedule;
pub use fault_schedule::FaultStep;
pub use operators::Operators;
pub use request_load::RequestLoad;
pub use request_load::RequestOutcome;
