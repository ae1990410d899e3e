//! Checked types that every other package shares: ids, sizes, rates, verdicts and documents.

pub mod document;
pub mod ids;
pub mod sizes;
mod verdict;

pub use verdict::CallError;
pub use verdict::Verdict;
