//! A fault run over real processes: daemons are killed, frozen and cut off under load, and the
//! counters of the stand-ins say whether anything was lost, doubled or wrongly refused.

mod batch_load;
mod checks;
mod cluster;
mod daemon_process;
mod operators;
mod request_load;
mod schedule;

pub use batch_load::BatchLoad;
pub use checks::Finding;
pub use checks::check_batch;
pub use checks::check_operators;
pub use checks::check_requests;
pub use cluster::Cluster;
pub use cluster::ClusterSettings;
pub use daemon_process::DaemonProcess;
pub use operators::Operators;
pub use request_load::RequestLoad;
pub use request_load::Told;
pub use schedule::FaultStep;
pub use schedule::Schedule;
