//! The request path: routes callers' HTTP requests to targets.
//!
//! Requests are admitted, queued, sent, retried within a budget and forwarded to other failure
//! domains. Each answer carries a verdict on whether the request ran.

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
mod target_refresher;

pub use front_service::FrontHandle;
pub use front_service::FrontService;
pub use front_settings::FrontSettings;
