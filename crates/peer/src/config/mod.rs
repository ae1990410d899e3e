//! The configuration in force, followed on the platform's log.

mod config_follower;
mod config_view;

pub use config_follower::ConfigFollower;
pub use config_view::ConfigView;
