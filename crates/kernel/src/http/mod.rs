//! HTTP servers for the daemon's services.

mod handler;
mod http_server;

pub use handler::AnswerBody;
pub use handler::HttpHandler;
pub use handler::full_body;
pub use http_server::HttpServer;
