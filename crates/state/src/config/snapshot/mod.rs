//! Snapshots of the configuration, written as parts of limited size.

mod assembler;
mod part;

pub use assembler::Snapshot;
pub use assembler::SnapshotAssembler;
pub use assembler::SnapshotError;
pub use part::SnapshotPart;
pub use part::split_snapshot;
