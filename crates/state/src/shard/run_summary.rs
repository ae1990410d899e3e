use dotterelhook_types::ids::JobName;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

use super::RunStatus;
use super::ShardState;

/// One run's line in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The run.
    pub run: RunId,
    /// The team that submitted it.
    pub team: TeamName,
    /// The job.
    pub job: JobName,
    /// How far the run has come.
    pub status: RunStatus,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
    /// The number of tasks.
    pub tasks: u32,
    /// The number of tasks whose result stands.
    pub done: u32,
    /// The number of tasks with an open attempt.
    pub running: u32,
    /// The number of tasks that wait for a worker.
    pub waiting: u32,
    /// The deadline as Unix time.
    pub deadline_at_unix_ms: u64,
    /// Why the run failed.
    pub cause: Option<Box<str>>,
    /// Whether the line is of the shard's owner; others may lag behind it.
    pub is_from_owner: bool,
    /// What the run's open attempts wait for, one line for each worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits: Vec<Box<str>>,
}

impl ShardState {
    /// Returns a line for each run that is kept, in order of run id.
    pub fn run_summaries(&self) -> Vec<RunSummary> {
        let lines = self.runs().iter().map(|(id, run)| RunSummary {
            run: id.clone(),
            team: run.spec.team.clone(),
            job: run.spec.job.clone(),
            status: run.status,
            is_overdue: run.is_overdue,
            tasks: run.spec.settings.tasks,
            done: run.done,
            running: run.open_tasks(),
            waiting: run.waiting_tasks().len() as u32,
            deadline_at_unix_ms: run.spec.deadline_at_unix_ms,
            cause: run.cause.clone(),
            is_from_owner: false,
            waits: Vec::new(),
        });
        lines.collect()
    }
}
