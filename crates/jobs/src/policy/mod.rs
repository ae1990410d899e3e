//! Which task goes first, and where it goes.

mod deadline_order;
mod interference;
mod leftover_placement;
mod paced_fillers;
mod placement;
mod queue_order;

pub use deadline_order::DeadlineOrder;
pub use interference::FillerSample;
pub use interference::Interference;
pub use interference::LearnedPressure;
pub use interference::LearnedTails;
pub use interference::TailRatio;
pub use interference::TailSample;
pub use interference::TailStep;
pub use leftover_placement::LeftoverPlacement;
pub use paced_fillers::PacedFillers;
pub use placement::Placement;
pub use placement::PlacementRequest;
pub use queue_order::QueueOrder;
pub use queue_order::Rank;
