//! The data model: jobs, steps, tasks, runs and executors.

mod executor;
mod job_id;
mod job_spec;
mod job_state;
mod queue_config;
mod step_spec;
mod string_types;
mod submission;
mod task_id;

pub use executor::ExecutorEntry;
pub use executor::ExecutorKey;
pub use executor::ExecutorPhase;
pub use job_id::JobId;
pub use job_id::JobIdError;
pub use job_spec::JobSpec;
pub use job_spec::JobSpecError;
pub use job_spec::STEPS_MAX;
pub use job_spec::Schedule;
pub use job_state::JobState;
pub use queue_config::AdvisorTiming;
pub use queue_config::QueueConfig;
pub use step_spec::StepSpec;
pub use string_types::Checkpoint;
pub use string_types::ExecutorId;
pub use string_types::FailureDomainName;
pub use string_types::ImageName;
pub use string_types::Label;
pub use string_types::QueueName;
pub use string_types::ServiceId;
pub use submission::Submission;
pub use task_id::RunNumber;
pub use task_id::TaskId;
pub use task_id::TaskIdError;
