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
pub(super) struct OpenTask {
    pub(super) number: u32,
    pub(super) worker: Arc<WorkerId>,
    pub(super) size: Resources,
    /// Rises with each start that was observed.
    pub(super) started_order: u64,
}

/// What placement keeps of a run that has waiting or open tasks.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueuedRun {
    pub(super) id: RunId,
    pub(super) offset: Offset,
    pub(super) class: Arc<ClassKey>,
    pub(super) is_checkpointable: bool,
    /// The submission or the last start.
    pub(super) waiting_since_unix_ms: u64,
    /// The number of attempts so far of each waiting task.
    pub(super) waiting: BTreeMap<u32, u32>,
    pub(super) open: BTreeMap<u32, OpenTask>,
}

impl QueuedRun {
    /// Reads a run without its open attempts.
    pub(super) fn new(id: &RunId, run: &Run) -> Self {
        let settings = &run.spec.settings;
        let job = JobKey {
            team: run.spec.team.clone(),
            job: run.spec.job.clone(),
        };
        let submitted_at = run.spec.deadline_at_unix_ms;
        let mut queued = Self {
            id: id.clone(),
            offset: run.offset,
            class: Arc::new(ClassKey::new(settings.priority, job, &settings.size)),
            is_checkpointable: settings.checkpointable,
            waiting_since_unix_ms: submitted_at.saturating_sub(settings.deadline_ms),
            waiting: BTreeMap::new(),
            open: BTreeMap::new(),
        };
        queued.read_waiting(run);
        queued
    }

    /// Names an attempt at one of its tasks.
    pub(super) fn attempt(&self, index: u32, number: u32) -> AttemptId {
        let run = self.id.clone();
        AttemptId {
            task: TaskId { run, index },
            number,
        }
    }

    /// Reads again which tasks wait.
    pub(super) fn read_waiting(&mut self, run: &Run) {
        self.waiting.clear();
        for index in 0..run.tasks.len() as u32 {
            self.read_task(run, index);
        }
    }

    /// Reads again whether one task waits.
    pub(super) fn read_task(&mut self, run: &Run, index: u32) {
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
