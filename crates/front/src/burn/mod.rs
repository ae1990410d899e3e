//! How far each service keeps its objective, and what it lost to which cause.

mod burn_board;
mod burn_report;

pub use burn_board::BurnBoard;
pub use burn_report::ServiceBurn;
pub use burn_report::WINDOWS;
pub use burn_report::WindowBurn;
