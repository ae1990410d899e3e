//! An open-loop load generator.
//!
//! Latencies count from the intended start of a request, so that a delayed send is not hidden.

mod load_report;
mod load_run;

pub use load_report::LoadReport;
pub use load_run::LoadRun;
