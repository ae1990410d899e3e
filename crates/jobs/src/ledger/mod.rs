//! The jobs of a cell: submissions, progress, and the states that clients may see.

mod codec;
mod crash_history;
mod job;
mod job_ledger;
mod job_progress;
mod lost_runs;
mod progress_parts;
mod side_record;
mod stored_progress;
mod submission_record;

pub use codec::CodecError;
pub use codec::decode;
pub use codec::encode;
pub use crash_history::CrashHistory;
pub use crash_history::Loss;
pub use crash_history::REMEMBERED_TASKS_MAX;
pub use crash_history::TaskCrashes;
pub use job::Job;
pub use job::StepRef;
pub use job_ledger::FinishedJob;
pub use job_ledger::JobLedger;
pub use job_progress::JobProgress;
pub use job_progress::TaskProgress;
pub use job_progress::TaskStatus;
pub use lost_runs::LostRuns;
pub use progress_parts::ProgressParts;
pub use progress_parts::TASKS_PER_PART;
pub use side_record::SideRecord;
pub use stored_progress::StoredProgress;
pub use submission_record::decode_submission;
pub use submission_record::encode_submission;
