//! A cell: the jobs of some submission partitions and the executors that run them, under one
//! owner at a time.

mod cell_load;
mod cell_settings;
mod cell_state;
mod commit_batch;
mod commits;
mod lives;
mod order_outcomes;
mod place;
mod planning;
mod relocation;
mod reports;
mod tails;
mod tickets;

pub use cell_load::CellLoad;
pub use cell_settings::CellSettings;
pub use cell_state::CellState;
pub use cell_state::JobLookup;
pub use commit_batch::CommitBatch;
pub use commit_batch::Effect;
pub(crate) use commits::LEARNED_KEY;
