//! Membership and failure detection of daemons.
//!
//! Members of a failure domain exchange heartbeats; relays exchange digests between domains.

mod answers;
mod codec;
mod digest;
mod draining_gossip;
mod frame;
mod gossip_schedule;
mod heartbeat;
mod member_entry;
mod member_table;
mod membership_protocol;
mod membership_service;
mod membership_settings;
mod membership_view;
mod outgoing_frame;
mod pause_tolerant_clock;
mod relays;
mod rollout;
mod traffic_metrics;

pub use codec::FrameError;
pub use codec::decode;
pub use codec::encode;
pub use digest::Digest;
pub use digest::DigestEntry;
pub use digest::MemberDescription;
pub use frame::PeerFrame;
pub use heartbeat::DrainingTarget;
pub use heartbeat::Heartbeat;
pub use heartbeat::MemberId;
pub use heartbeat::Role;
pub use member_table::Member;
pub use member_table::MemberState;
pub use member_table::MemberTable;
pub use membership_protocol::MembershipProtocol;
pub use membership_service::MembershipService;
pub use membership_settings::MembershipSettings;
pub use membership_view::MembershipView;
pub use outgoing_frame::OutgoingFrame;
pub use relays::choose_relays;
pub use rollout::Rollout;
