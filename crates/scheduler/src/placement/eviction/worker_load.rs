use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// An open attempt as a possible victim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The attempt.
    pub attempt: AttemptId,
    /// What is reserved for it.
    pub size: Resources,
    /// The run's priority.
    pub priority: Priority,
    /// Whether it resumes from a checkpoint.
    pub is_checkpointable: bool,
    /// Higher for attempts that started later.
    pub started_order: u64,
}

/// What is free and what runs on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// What is free.
    pub free: Resources,
    /// The open attempts.
    pub running: Vec<RunningTask>,
}
