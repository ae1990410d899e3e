//! One caller's request: tries at targets and the answer with its verdict.

mod answer_body;
mod answers;
mod attempt;
mod cause;
mod exchange;
mod request_body;
mod request_head;

pub use answers::refuse;
pub use answers::with_verdict;
pub use cause::Cause;
pub use cause::RequestError;
pub use exchange::Exchange;
pub use request_body::RequestBody;
pub use request_body::read_request_body;
pub use request_head::RequestHead;
