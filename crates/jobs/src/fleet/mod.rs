//! The owner's view of the executors of a cell: leases, runs, health, and headroom for fillers.

mod executor;
mod executor_clock;
mod filler_history;
mod headroom;
mod health;
mod listing;
mod order;
mod order_queue;
mod ramp_up;
mod relative_speed;
mod run_view;

pub use executor::Executor;
pub use executor_clock::ExecutorClock;
pub use filler_history::FillerHistory;
pub use headroom::Headroom;
pub use health::Health;
pub use listing::Listing;
pub use order::Order;
pub use order_queue::OrderQueue;
pub use ramp_up::RampUp;
pub use relative_speed::RelativeSpeed;
pub use run_view::RunPhase;
pub use run_view::RunView;
