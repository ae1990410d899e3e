//! The configuration that teams publish, folded from the `config` stream.

mod batch_job;
mod config_state;
mod document_kind;
mod publication;
mod quota;
mod refusal;
mod service;

pub use batch_job::BatchJob;
pub use batch_job::Priority;
pub use config_state::ConfigState;
pub use config_state::Outcome;
pub use config_state::Version;
pub use document_kind::ConfigDocument;
pub use document_kind::DocumentKind;
pub use publication::Publication;
pub use publication::WriterId;
pub use quota::Quota;
pub use refusal::Refusal;
pub use service::Objective;
pub use service::ServiceSettings;

/// The stream that carries publications.
pub const CONFIG_STREAM: &str = "config";
