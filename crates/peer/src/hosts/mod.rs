//! The platform's host list, polled and checked for implausible gaps.

mod accepted_list;
mod host_follower;
mod host_view;

pub use accepted_list::AcceptedList;
pub use accepted_list::accept_list;
pub use host_follower::HostFollower;
pub use host_view::HostView;
