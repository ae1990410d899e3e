use std::collections::BTreeMap;
use std::sync::Arc;

use dotterelhook_state::shard::Run;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;

use super::run_class::ClassKey;
use crate::placement::JobKey;

/// An open attempt of a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TrackedAttempt {
    pub(super) number: u32,
    pub(super) worker: Arc<WorkerId>,
    pub(super) size: Resources,
    /// Position in the order of observed starts.
    pub(super) started_order: u64,
}

/// Placement's view of a run that has waiting or open tasks.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TrackedRun {
    pub(super) id: RunId,
    pub(super) offset: Offset,
    pub(super) class: Arc<ClassKey>,
    pub(super) is_checkpointable: bool,
    /// Time of the submission or the last start.
    pub(super) waiting_since_unix_ms: u64,
    /// Waiting tasks by index, each with the number of its attempts so far.
    pub(super) waiting: BTreeMap<u32, u32>,
    pub(super) open: BTreeMap<u32, TrackedAttempt>,
}

impl TrackedRun {
    /// Creates the view of a run without its open attempts.
    pub(super) fn new(id: &RunId, run: &Run) -> Self {
        let settings = &run.spec.settings;
        let job = JobKey {
            team: run.spec.team.clone(),
            job: run.spec.job.clone(),
        };
        let deadline_at_unix_ms = run.spec.deadline_at_unix_ms;
        let mut tracked = Self {
            id: id.clone(),
            offset: run.offset,
            class: Arc::new(ClassKey::new(settings.priority, job, &settings.size)),
            is_checkpointable: settings.checkpointable,
            waiting_since_unix_ms: deadline_at_unix_ms.saturating_sub(settings.deadline_ms),
            waiting: BTreeMap::new(),
            open: BTreeMap::new(),
        };
        tracked.refresh_waiting(run);
        tracked
    }

    /// Returns the id of an attempt at one of the run's tasks.
    pub(super) fn attempt_id(&self, index: u32, number: u32) -> AttemptId {
        let run = self.id.clone();
        AttemptId {
            task: TaskId { run, index },
            number,
        }
    }

    /// Updates which tasks wait.
    pub(super) fn refresh_waiting(&mut self, run: &Run) {
        self.waiting.clear();
        for index in 0..run.tasks.len() as u32 {
            self.refresh_task(run, index);
        }
    }

    /// Updates whether one task waits.
    pub(super) fn refresh_task(&mut self, run: &Run, index: u32) {
        let is_active = run.status == RunStatus::Active;
        match run.tasks.get(index as usize) {
            Some(TaskState::Waiting { attempts, .. }) if is_active => {
                self.waiting.insert(index, *attempts);
            }
            _ => {
                self.waiting.remove(&index);
            }
        }
    }
}
