//! Interference control: learns from delayed latency samples which batch jobs slow down which
//! services. Acts on running attempts and restricts placement.

mod action;
mod attempt_history;
mod baseline_latency;
mod controller;
mod interference_avoidance;
mod last_in_first_out;
mod learned_pairs;
mod learned_pairs_settings;
mod no_control;
mod pair_table;
mod sample;
mod static_reservation;

pub use action::Action;
pub use action::ActionKind;
pub use attempt_history::AttemptHistory;
pub use attempt_history::ColocatedAttempt;
pub use baseline_latency::BaselineLatency;
pub use controller::InterferenceController;
pub use interference_avoidance::InterferenceAvoidance;
pub use last_in_first_out::LastInFirstOut;
pub use learned_pairs::LearnedPairs;
pub use learned_pairs_settings::LearnedPairsSettings;
pub use no_control::NoControl;
pub use pair_table::PairKey;
pub use pair_table::PairTable;
pub use sample::ServiceSample;
pub use static_reservation::StaticReservation;
