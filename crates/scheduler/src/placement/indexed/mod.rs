//! Placement with an index of free resources, updated by each record of the shard.

mod class_progress;
mod free_index;
mod indexed_placer;
mod round;
mod run_class;
mod tentative_changes;
mod tracked_run;

pub use indexed_placer::IndexedPlacer;
