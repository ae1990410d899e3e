//! Validated types shared by all crates: ids, resource sizes, rates, retry verdicts and settings
//! documents.

pub mod document;
pub mod ids;
pub mod sizes;
mod verdict;

pub use verdict::CallError;
pub use verdict::Verdict;
