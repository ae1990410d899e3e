//! Which service a request belongs to.

mod route;

pub use route::Route;
pub use route::find_route;
