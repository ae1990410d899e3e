//! Placement by an index that follows the shard record by record.

mod class_round;
mod free_index;
mod indexed_placer;
mod overlay;
mod queued_run;
mod round;
mod run_class;

pub use indexed_placer::IndexedPlacer;
