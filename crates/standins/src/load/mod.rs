//! An open-loop load generator whose latencies count from the intended start.

mod load_report;
mod load_run;

pub use load_report::LoadReport;
pub use load_run::LoadRun;
