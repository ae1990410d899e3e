//! A discrete-time model of the interference between services and batch tasks on shared workers.

mod interference_model;
mod model_settings;
mod workload;

pub use interference_model::InterferenceModel;
pub use interference_model::LatencySample;
pub use interference_model::StepReport;
pub use interference_model::Totals;
pub use interference_model::UsageReport;
pub use model_settings::ModelSettings;
pub use workload::ModelTask;
