//! Which batch jobs slow which services down, learned from lagging measurements.

mod action;
mod controller;
mod controller_advice;
mod last_in_first_out;
mod learned_pairs;
mod learned_pairs_settings;
mod no_control;
mod pair_table;
mod quiet_latency;
mod resident_log;
mod sample;
mod static_reservation;

pub use action::Action;
pub use action::Step;
pub use controller::InterferenceController;
pub use controller_advice::ControllerAdvice;
pub use last_in_first_out::LastInFirstOut;
pub use learned_pairs::LearnedPairs;
pub use learned_pairs_settings::LearnedPairsSettings;
pub use no_control::NoControl;
pub use pair_table::PairKey;
pub use pair_table::PairTable;
pub use quiet_latency::QuietLatency;
pub use resident_log::Resident;
pub use resident_log::ResidentLog;
pub use sample::ServiceSample;
pub use static_reservation::StaticReservation;
