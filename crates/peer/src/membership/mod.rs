//! The daemons that are alive, known by heartbeats.

mod codec;
mod heartbeat;
mod member_table;
mod membership_service;
mod membership_view;

pub use codec::FrameError;
pub use codec::decode;
pub use codec::encode;
pub use heartbeat::Heartbeat;
pub use heartbeat::MemberId;
pub use heartbeat::Role;
pub use member_table::Member;
pub use member_table::MemberState;
pub use member_table::MemberTable;
pub use membership_service::MembershipService;
pub use membership_service::MembershipSettings;
pub use membership_view::MembershipView;
