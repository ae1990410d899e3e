//! How long work waits for a preferred placement: for capacity on the rack with its data, or on one
//! rack for all members of a gang.

mod capacity_forecast;
mod estimate_errors;
mod far_factor;
mod job_slack;
mod remaining_time;
mod time_spread;
mod wait_decision;
mod wait_policy;

pub use capacity_forecast::CapacityForecast;
pub use capacity_forecast::DueEnd;
pub use capacity_forecast::ExecutorOutlook;
pub use capacity_forecast::Room;
pub use capacity_forecast::Slot;
pub use capacity_forecast::SlotNeed;
pub use estimate_errors::EstimateErrors;
pub use estimate_errors::EstimateRatio;
pub use far_factor::FarFactor;
pub use far_factor::FarFactorError;
pub use job_slack::JobSlack;
pub use remaining_time::RunOutlook;
pub use time_spread::TimeSpread;
pub use wait_decision::NoWaitReason;
pub use wait_decision::WaitDecision;
pub use wait_decision::WaitInputs;
pub use wait_policy::PlacementWait;
pub use wait_policy::WaitPolicy;
