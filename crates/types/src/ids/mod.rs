//! Identifiers of hosts, teams, jobs and log positions, each with a distinct type.

mod attempt;
mod config_path;
mod name;
mod number;

pub use attempt::AttemptId;
pub use attempt::TaskId;
pub use config_path::ConfigPath;
pub use name::FailureDomain;
pub use name::HostId;
pub use name::JobName;
pub use name::NameError;
pub use name::RackId;
pub use name::RegionName;
pub use name::RunId;
pub use name::ServiceName;
pub use name::TargetId;
pub use name::TeamName;
pub use name::WorkerId;
pub use number::Epoch;
pub use number::Incarnation;
pub use number::Offset;
pub use number::Sequence;
