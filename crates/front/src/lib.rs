//! The request path: callers' requests are routed to targets, with a verdict on each answer.

pub mod burn;
pub mod forward;
mod front;
mod front_handler;
mod front_service;
mod front_settings;
pub mod headers;
pub mod idempotency;
pub mod limit;
pub mod metrics;
pub mod request;
pub mod routing;
pub mod target;
mod target_follower;

pub use front_service::FrontHandle;
pub use front_service::FrontService;
pub use front_settings::FrontSettings;
