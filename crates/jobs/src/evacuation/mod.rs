//! Evacuation of failure domains at the request of operators.

mod evacuations;
mod operator_view;
mod stay_cause;
mod view_snapshot;

pub use evacuations::Evacuations;
pub use operator_view::OperatorView;
pub use stay_cause::RELOCATION_TIME;
pub use stay_cause::RunFacts;
pub use stay_cause::StayCause;
pub use view_snapshot::ViewSnapshot;
