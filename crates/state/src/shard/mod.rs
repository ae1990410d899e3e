//! Batch work of one shard, folded from the shard's stream.

mod attempts;
mod event;
mod ledger;
mod refusal;
mod run;
mod runs;
mod shard_id;
mod shard_state;
mod snapshot;
mod worker_account;

pub use event::AttemptEnd;
pub use event::RunSpec;
pub use event::ShardEvent;
pub use event::ShardRecord;
pub use ledger::LedgerLine;
pub use refusal::ShardRefusal;
pub use run::Run;
pub use run::RunStatus;
pub use run::TaskState;
pub use shard_id::ShardId;
pub use shard_state::OpenAttempt;
pub use shard_state::Owner;
pub use shard_state::ShardState;
pub use snapshot::SnapshotChunk;
pub use snapshot::SnapshotReader;
pub use worker_account::QUARANTINE_JOBS;
pub use worker_account::WorkerAccount;
