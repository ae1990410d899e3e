//! Moves of whole runs to schedulers of other failure domains.

mod http_domains;
mod other_domains;
mod room_request;

pub use http_domains::HttpDomains;
pub use other_domains::OtherDomains;
pub use room_request::RoomRequest;
