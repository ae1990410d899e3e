//! Policies of a cell: the order of the queue, the placement of tasks, and interference control.

mod fair_shares;
mod filler_pacer;
mod interference;
mod interference_aware_placement;
mod job_sizes;
mod least_slack_first;
mod load_forecast;
mod placement;
mod queue_policy;
mod queue_shares;
mod run_time_ratios;

pub use fair_shares::FairShares;
pub use filler_pacer::FillerPacer;
pub use interference::FillerAction;
pub use interference::FillerSample;
pub use interference::ImageLoad;
pub use interference::InterferenceController;
pub use interference::LearnedInterference;
pub use interference::LearnedPressure;
pub use interference::TailRatio;
pub use interference::TailSample;
pub use interference_aware_placement::InterferenceAwarePlacement;
pub use job_sizes::JobSizes;
pub use job_sizes::SizeClass;
pub use least_slack_first::EXPIRY_FACTOR;
pub use least_slack_first::LeastSlackFirst;
pub use placement::Fit;
pub use placement::PlacementPolicy;
pub use placement::PlacementRequest;
pub use queue_policy::QueuePolicy;
pub use queue_policy::Rank;
pub use queue_policy::RankContext;
pub use queue_shares::QueueShares;
pub use run_time_ratios::LearnedRunTime;
pub use run_time_ratios::RunTimeRatio;
pub use run_time_ratios::RunTimeRatios;
