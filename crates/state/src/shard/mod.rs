//! Batch work of one shard, as a fold of the records of the shard's stream.

mod attempts;
mod event;
mod late_ends;
mod moves;
mod refusal;
mod run;
mod run_summary;
mod runs;
mod shard_id;
mod shard_state;
mod snapshot;
mod worker_state;

pub use event::AttemptEnd;
pub use event::RunSpec;
pub use event::ShardEvent;
pub use event::ShardRecord;
pub use late_ends::LostAttempt;
pub use moves::MovedRun;
pub use refusal::ShardRefusal;
pub use run::CRASHES_MAX;
pub use run::Run;
pub use run::RunStatus;
pub use run::TaskState;
pub use run_summary::RunSummary;
pub use shard_id::ShardId;
pub use shard_state::OpenAttempt;
pub use shard_state::Owner;
pub use shard_state::ShardState;
pub use snapshot::SnapshotAssembler;
pub use snapshot::SnapshotChunk;
pub use worker_state::QUARANTINE_FAILED_JOBS_MIN;
pub use worker_state::WorkerState;
