//! One caller's request: tries at targets and the answer with its verdict.

mod answers;
mod attempt;
mod exchange;

pub use answers::refuse;
pub use answers::with_verdict;
pub use exchange::Exchange;
pub use exchange::RequestHead;
