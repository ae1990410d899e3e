//! HTTP with JSON towards the platform.

mod answer;
mod json_client;

pub use answer::json_answer;
pub use answer::read_body;
pub use json_client::JsonAnswer;
pub use json_client::JsonClient;
