use dotterelhook_state::config::Priority;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

/// An open attempt, as a candidate for eviction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources reserved for the attempt.
    pub size: Resources,
    /// The priority of the attempt's run.
    pub priority: Priority,
    /// Whether the next attempt can resume from a checkpoint.
    pub is_checkpointable: bool,
    /// Position in the order of starts; higher for later starts.
    pub started_order: u64,
}

/// Free resources and open attempts of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// Resources that are free.
    pub free: Resources,
    /// Open attempts, each with its reserved resources.
    pub running: Vec<RunningAttempt>,
}
