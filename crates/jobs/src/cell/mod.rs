//! The state machine of a cell, which places tasks and handles reports.
//!
//! A cell consists of the jobs of some submission partitions and the executors that run them. It
//! has one owner among the hosts at a time.

mod capacity;
mod cell_load;
mod cell_settings;
mod cell_state;
mod commit_batch;
mod commits;
mod departures;
mod evacuation_progress;
mod excess;
mod executor_crashes;
mod foreign_runs;
mod gang_placement;
mod held_starts;
mod incarnations;
mod isolation;
mod job_records;
mod order_outcomes;
mod placement_waits;
mod planning;
mod preferred_placement;
mod queue_order;
mod rack_forecasts;
mod rack_turns;
mod ramp_up;
mod recent_losses;
mod relocation;
mod reports;
mod run_times;
mod scored_executor;
mod tail_latency;
mod tickets;
mod wait_times;

pub use cell_load::CellLoad;
pub use cell_settings::CellSettings;
pub use cell_settings::ColdLimits;
pub use cell_state::CellState;
pub use cell_state::JobLookup;
pub use commit_batch::CommitBatch;
pub use commit_batch::Effect;
pub(crate) use commits::LEARNED_KEY;
pub(crate) use excess::SHARES_KEY;
pub(crate) use job_records::decode_job_record;
pub(crate) use job_records::is_side_record_key;
pub(crate) use job_records::split_progress_key;
pub use queue_order::QueueOrder;
pub(crate) use run_times::RUN_TIMES_KEY;
