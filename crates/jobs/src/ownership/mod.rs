//! Who owns a cell, and what an owner does.

mod candidate;
mod cell_feeds;
mod cell_owner;
mod commit_loop;
mod executor_session;
mod handover;
mod member_name;
mod membership;
mod owner_board;
mod owner_directory;
mod roster;
mod takeover;
mod topics;

pub use candidate::Candidate;
pub use cell_owner::CellOwner;
pub use cell_owner::OwnerContext;
pub use handover::add_claim_handler;
pub use member_name::MemberName;
pub use owner_board::OwnerBoard;
pub use owner_directory::OwnerDirectory;
pub use owner_directory::OwnerRecord;
pub(crate) use topics::CANCELLATION_MARK;
pub use topics::cell_of;
pub use topics::partitions_needed;
pub use topics::submission_partition;
pub use topics::submissions_of;
