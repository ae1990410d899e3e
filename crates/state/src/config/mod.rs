//! The configuration published by teams, as a fold of the records of the `config` stream.

mod batch_job;
mod config_state;
mod document_kind;
mod evacuation;
mod evacuation_report;
mod publication;
mod publication_outcome;
mod quota;
mod quota_rules;
mod recent_map;
mod refusal;
mod removals;
mod service;
mod service_index;
mod snapshot;

pub use batch_job::BatchJob;
pub use batch_job::Priority;
pub use config_state::ConfigState;
pub use config_state::Version;
pub use document_kind::ConfigDocument;
pub use document_kind::DocumentKind;
pub use evacuation::Evacuation;
pub use evacuation_report::EvacuationPhase;
pub use evacuation_report::EvacuationReport;
pub use evacuation_report::RunningAttempts;
pub use publication::PUBLICATION_MAX_BYTES;
pub use publication::Publication;
pub use publication::WriterId;
pub use publication_outcome::PublicationOutcome;
pub use quota::Quota;
pub use refusal::Refusal;
pub use service::Objective;
pub use service::ServiceSettings;
pub use snapshot::Snapshot;
pub use snapshot::SnapshotAssembler;
pub use snapshot::SnapshotError;
pub use snapshot::SnapshotPart;
pub use snapshot::split_snapshot;

/// Name of the log stream that carries publications.
pub const CONFIG_STREAM: &str = "config";

/// Name of the log stream that carries snapshots of the configuration.
pub const SNAPSHOT_STREAM: &str = "config-snapshots";
