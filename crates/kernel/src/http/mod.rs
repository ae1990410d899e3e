//! HTTP servers for the daemon's services.

mod client_body;
mod handler;
mod http_server;
mod request_body;
mod tracked_answer;
mod tracked_stream;

pub use client_body::ClientBody;
pub use handler::AnswerBody;
pub use handler::HttpHandler;
pub use handler::full_body;
pub use http_server::HttpServer;
pub use request_body::BodyError;
pub use request_body::BodyLimits;
pub use request_body::RequestBody;
pub use request_body::receive_body;
