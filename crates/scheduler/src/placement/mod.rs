//! Which waiting task goes to which worker.

mod least_used;
mod placement_policy;

pub use least_used::LeastUsed;
pub use placement_policy::PlacementPolicy;
pub use placement_policy::Proposal;
