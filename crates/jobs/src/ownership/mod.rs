//! Leader election of cells: each cell has one owner among the hosts, which runs the cell's jobs
//! until another host takes over.

mod answer_timeout;
mod candidate;
mod cell_feeds;
mod cell_owner;
mod claim_calls;
mod commit_loop;
mod evacuation_report;
mod executor_session;
mod host_registry;
mod member_name;
mod membership;
mod owned_cells;
mod owner_directory;
mod start_attempts;
mod takeover;
mod topics;

pub use answer_timeout::AnswerTimeout;
pub use candidate::Candidate;
pub use cell_owner::CellOwner;
pub use cell_owner::OwnerContext;
pub use claim_calls::add_claim_handlers;
pub use member_name::MemberName;
pub use owned_cells::OwnedCells;
pub use owner_directory::OwnerDirectory;
pub use owner_directory::OwnerRecord;
pub use start_attempts::StartAttempts;
pub use start_attempts::StartStep;
pub(crate) use topics::CANCELLATION_KEY_PREFIX;
pub use topics::cell_of;
pub use topics::job_submission_partition;
pub use topics::required_partition_count;
pub use topics::submission_partition_at;
