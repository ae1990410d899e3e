//! Checks of a configuration beyond the validity of each document: entries that can never match,
//! limits that contradict each other, and differences from another version. Without I/O.

mod checked_config;
mod contradictions;
mod difference;
mod finding;
mod never_matching;
mod platform_facts;

pub(crate) use checked_config::CheckedConfig;
pub(crate) use difference::Difference;
pub(crate) use difference::find_differences;
pub(crate) use finding::Finding;
pub(crate) use finding::FindingKind;
pub(crate) use platform_facts::PlatformFacts;
