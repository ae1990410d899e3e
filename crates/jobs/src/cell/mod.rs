//! A cell: the jobs of some submission partitions and the executors that run them, under one
//! owner at a time.

mod batch;
mod cell_load;
mod cell_settings;
mod cell_state;
mod commits;
mod lives;
mod order_outcomes;
mod place;
mod planning;
mod relocation;
mod reports;
mod tails;
mod tickets;

pub use batch::Batch;
pub use batch::Effect;
pub use cell_load::CellLoad;
pub use cell_settings::CellSettings;
pub use cell_state::CellState;
pub use cell_state::StateAnswer;
pub(crate) use commits::LEARNED_KEY;
