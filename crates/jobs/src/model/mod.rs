//! What a client submits and what the scheduler counts: jobs, steps, tasks and runs.

mod executor;
mod job_id;
mod job_spec;
mod job_state;
mod queue_config;
mod step_spec;
mod submission;
mod task_id;
mod text;

pub use executor::ExecutorEntry;
pub use executor::ExecutorKey;
pub use executor::ExecutorPhase;
pub use job_id::JobId;
pub use job_id::JobIdError;
pub use job_spec::JobSpec;
pub use job_spec::JobSpecError;
pub use job_spec::Schedule;
pub use job_state::JobState;
pub use queue_config::AdvisorTiming;
pub use queue_config::QueueConfig;
pub use step_spec::StepSpec;
pub use submission::Submission;
pub use task_id::RunNumber;
pub use task_id::TaskId;
pub use task_id::TaskIdError;
pub use text::Checkpoint;
pub use text::ExecutorId;
pub use text::FailureDomainName;
pub use text::ImageName;
pub use text::Label;
pub use text::QueueName;
pub use text::ServiceId;
