//! The targets of the own failure domain and the connections to them.

mod pool;
mod target_set;

pub use pool::Connection;
pub use pool::Lease;
pub use pool::TargetPool;
pub use target_set::TargetSet;
