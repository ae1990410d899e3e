//! One caller's request: its attempts at targets, and the answer with its verdict.

mod answer_body;
mod answers;
mod attempt;
mod cause;
mod dispatch;
mod request_body;
mod request_head;

pub use answers::error_answer;
pub use answers::with_verdict;
pub use cause::Cause;
pub use cause::RequestError;
pub use dispatch::Dispatch;
pub use request_body::RequestBody;
pub use request_body::read_request_body;
pub use request_head::RequestHead;
