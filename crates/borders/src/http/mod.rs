//! HTTP clients for the platform, the workers and other daemons.

mod answer;
mod http_client;
mod json_client;

pub use answer::json_answer;
pub use answer::read_body;
pub use http_client::HttpAnswer;
pub use http_client::HttpCall;
pub use http_client::HttpClient;
pub use json_client::JsonAnswer;
pub use json_client::JsonClient;
