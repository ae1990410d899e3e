//! Snapshots of the configuration, in parts of limited size.

mod assembly;
mod part;

pub use assembly::Assembly;
pub use assembly::Snapshot;
pub use assembly::SnapshotError;
pub use part::SnapshotPart;
pub use part::split;
