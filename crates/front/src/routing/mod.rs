//! Routing of requests to services by path prefix.

mod route;

pub use route::Route;
pub use route::find_route;
