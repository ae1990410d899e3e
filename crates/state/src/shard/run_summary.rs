use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

use super::RunStatus;
use super::ShardState;

/// Progress report of one run, as served by the admin endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Id of the run.
    pub run: RunId,
    /// The team that submitted the run.
    pub team: TeamName,
    /// Name of the run's batch job.
    pub job: JobName,
    /// Lifecycle status of the run.
    pub status: RunStatus,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Number of tasks with an open attempt.
    pub running: u32,
    /// Whether the tasks can write checkpoints.
    #[serde(default)]
    pub is_checkpointable: bool,
    /// Number of tasks that wait for a worker.
    pub waiting: u32,
    /// The run's deadline, as Unix time in milliseconds.
    pub deadline_at_unix_ms: u64,
    /// Reason for a failed run; absent otherwise.
    pub cause: Option<Box<str>>,
    /// Whether the shard's owner produced the summary; summaries of other processes may be stale.
    pub is_from_owner: bool,
    /// Reasons why open attempts of the run have not ended, one text per silent worker, and why its
    /// tasks have not started. Only the owner fills the list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<Box<str>>,
}

impl ShardState {
    /// Returns a summary of each retained run, ordered by run id.
    pub fn run_summaries(&self) -> Vec<RunSummary> {
        let summaries = self.runs().iter().map(|(id, run)| RunSummary {
            run: id.clone(),
            team: run.spec.team.clone(),
            job: run.spec.job.clone(),
            status: run.status,
            is_overdue: run.is_overdue,
            tasks: run.spec.settings.tasks,
            done: run.done,
            running: run.open_tasks(),
            is_checkpointable: run.spec.settings.checkpointable,
            waiting: match run.status {
                RunStatus::Moved => 0,
                _ => run.waiting_tasks().len() as u32,
            },
            deadline_at_unix_ms: run.spec.deadline_at_unix_ms,
            cause: run.cause.clone(),
            is_from_owner: false,
            waits: Vec::new(),
        });
        summaries.collect()
    }
}
