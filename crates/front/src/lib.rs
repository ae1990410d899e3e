//! The request path: callers' requests are routed to targets, with a verdict on each answer.

mod front_service;
pub mod headers;
pub mod request;
pub mod routing;
pub mod target;

pub use front_service::FrontService;
pub use front_service::FrontSettings;
