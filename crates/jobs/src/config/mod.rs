//! The configuration that operators publish: queues and the services that run their tasks.

mod active_config;
mod config_follower;
mod deployment_config;

pub use active_config::ActiveConfig;
pub use config_follower::ConfigFollower;
pub use deployment_config::DeploymentConfig;
pub use deployment_config::QueueRoute;
pub use deployment_config::ServiceConfig;
