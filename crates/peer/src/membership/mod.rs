//! The daemons that are alive: heartbeats inside a failure domain, digests between domains.

mod codec;
mod digest;
mod draining_board;
mod frame;
mod heartbeat;
mod member_entry;
mod member_exchange;
mod member_table;
mod membership_service;
mod membership_settings;
mod membership_view;
mod own_time;
mod relays;
mod schedule;
mod traffic;

pub use codec::FrameError;
pub use codec::decode;
pub use codec::encode;
pub use digest::Description;
pub use digest::Digest;
pub use digest::DigestEntry;
pub use frame::PeerFrame;
pub use heartbeat::DrainingTarget;
pub use heartbeat::Heartbeat;
pub use heartbeat::MemberId;
pub use heartbeat::Role;
pub use member_exchange::MemberExchange;
pub use member_exchange::Outgoing;
pub use member_table::Member;
pub use member_table::MemberState;
pub use member_table::MemberTable;
pub use membership_service::MembershipService;
pub use membership_settings::MembershipSettings;
pub use membership_view::MembershipView;
pub use relays::choose_relays;
