//! The configuration that operators put in force: queues and the pools that serve them.

mod config_board;
mod config_follower;
mod deployment_config;

pub use config_board::ConfigBoard;
pub use config_follower::ConfigFollower;
pub use deployment_config::DeploymentConfig;
pub use deployment_config::QueueRoute;
pub use deployment_config::ServiceTerms;
