//! Who owns a cell, and what an owner does.

mod candidate;
mod cell_feeds;
mod cell_owner;
mod commit_loop;
mod executor_session;
mod handover;
mod member_name;
mod membership;
mod owned_cells;
mod owner_directory;
mod roster;
mod takeover;
mod topics;

pub use candidate::Candidate;
pub use cell_owner::CellOwner;
pub use cell_owner::OwnerContext;
pub use handover::add_claim_handlers;
pub use member_name::MemberName;
pub use owned_cells::OwnedCells;
pub use owner_directory::OwnerDirectory;
pub use owner_directory::OwnerRecord;
pub(crate) use topics::CANCELLATION_KEY_PREFIX;
pub use topics::cell_of;
pub use topics::job_submission_partition;
pub use topics::required_partition_count;
pub use topics::submission_partition_at;
