//! Which task goes first, and where it goes.

mod filler_pacer;
mod interference_aware_placement;
mod interference_controller;
mod least_slack_first;
mod load_forecast;
mod placement_policy;
mod queue_policy;

pub use filler_pacer::FillerPacer;
pub use interference_aware_placement::InterferenceAwarePlacement;
pub use interference_controller::FillerAction;
pub use interference_controller::FillerSample;
pub use interference_controller::ImageLoad;
pub use interference_controller::InterferenceController;
pub use interference_controller::LearnedInterference;
pub use interference_controller::LearnedPressure;
pub use interference_controller::TailRatio;
pub use interference_controller::TailSample;
pub use least_slack_first::LeastSlackFirst;
pub use placement_policy::Fit;
pub use placement_policy::PlacementPolicy;
pub use placement_policy::PlacementRequest;
pub use queue_policy::QueuePolicy;
pub use queue_policy::Rank;
