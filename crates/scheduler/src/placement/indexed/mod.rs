//! Placement by an index that follows the shard record by record.

mod free_index;
mod indexed_placer;
mod overlay;
mod queued_run;
mod round;

pub use indexed_placer::IndexedPlacer;
