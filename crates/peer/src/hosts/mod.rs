//! The platform's host list as last read.

mod host_follower;
mod host_view;

pub use host_follower::HostFollower;
pub use host_view::HostView;
