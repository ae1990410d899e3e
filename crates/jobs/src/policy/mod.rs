//! Which task goes first, and where it goes.

mod deadline_order;
mod leftover_placement;
mod placement;
mod queue_order;

pub use deadline_order::DeadlineOrder;
pub use leftover_placement::LeftoverPlacement;
pub use placement::Placement;
pub use placement::PlacementRequest;
pub use queue_order::QueueOrder;
pub use queue_order::Rank;
