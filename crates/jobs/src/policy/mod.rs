//! Which task goes first, and where it goes.

mod deadline_order;
mod interference;
mod leftover_placement;
mod load_paced_fillers;
mod placement;
mod queue_order;
mod serving_load;

pub use deadline_order::DeadlineOrder;
pub use interference::FillerSample;
pub use interference::ImageLoad;
pub use interference::Interference;
pub use interference::LearnedPressure;
pub use interference::LearnedTails;
pub use interference::TailRatio;
pub use interference::TailSample;
pub use interference::TailStep;
pub use leftover_placement::LeftoverPlacement;
pub use load_paced_fillers::LoadPacedFillers;
pub use placement::Fit;
pub use placement::Placement;
pub use placement::PlacementRequest;
pub use queue_order::QueueOrder;
pub use queue_order::Rank;
