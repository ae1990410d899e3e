//! Evacuation of failure domains at the request of operators.

mod evacuations;
mod operator_view;
mod view_snapshot;

pub use evacuations::Evacuations;
pub use operator_view::OperatorView;
pub use view_snapshot::ViewSnapshot;
