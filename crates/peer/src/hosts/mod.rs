//! The platform's host list as last read.

mod host_follower;
mod host_view;
mod vanished;

pub use host_follower::HostFollower;
pub use host_view::HostView;
pub use vanished::AcceptedList;
pub use vanished::accept_list;
