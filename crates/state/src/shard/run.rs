use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::MovedRun;
use super::RunSpec;

/// The number of lost workers after which the task that each of them had opened last is given up. A
/// neighbour of the cause is rarely the last one on so many workers in a row.
pub const CRASHES_MAX: u32 = 5;

/// Lifecycle status of a run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunStatus {
    /// Some tasks have not succeeded yet, and the run was neither failed nor cancelled.
    Active,
    /// Every task succeeded.
    Complete,
    /// A task failed too often, or the run can never complete.
    Failed,
    /// The run was cancelled.
    Cancelled,
    /// The run has left for a shard of another failure domain.
    Moved,
}

/// Scheduling state of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting {
        /// Number of attempts so far.
        attempts: u32,
        /// Number of failed attempts that count against the task.
        failures: u32,
        /// Checkpoint from which the next attempt resumes; absent to start from the beginning.
        checkpoint: Option<Box<str>>,
    },
    /// An attempt is open on a worker.
    Open {
        /// The attempt's number.
        number: u32,
        /// Number of earlier failed attempts that count against the task.
        failures: u32,
        /// Checkpoint from which the attempt resumed; absent if it started from the beginning.
        checkpoint: Option<Box<str>>,
        /// The worker that runs the attempt.
        worker: WorkerId,
    },
    /// The task succeeded in an attempt that had been declared lost, while a newer attempt was
    /// open. The newer attempt holds its resources until it has been stopped.
    Redundant {
        /// The number of the newer attempt.
        number: u32,
    },
    /// The task succeeded.
    Done,
    /// The task ended without a result.
    Ended,
}

impl TaskState {
    fn has_open_attempt(&self) -> bool {
        matches!(self, Self::Open { .. } | Self::Redundant { .. })
    }
}

/// An accepted run and the state of its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Offset of the accepted submission.
    pub offset: Offset,
    /// The run's specification.
    pub spec: Box<RunSpec>,
    /// Task states by task index; empty once the run and all its attempts have ended.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Lifecycle status of the run.
    pub status: RunStatus,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
    /// Reason for a failed run; absent otherwise.
    pub cause: Option<Box<str>>,
    /// Workers on which each task failed, by task index. Failures on quarantined workers are left
    /// out.
    pub failed_on: BTreeMap<u32, BTreeSet<WorkerId>>,
    /// Number of workers that were lost after they had opened an attempt of each task last, by task
    /// index.
    #[serde(default)]
    pub crashes: BTreeMap<u32, u32>,
    /// Number of moves from shard to shard that brought the run here.
    #[serde(default)]
    pub moves: u32,
    /// The failure domain that the run left for; absent unless it has moved.
    #[serde(default)]
    pub moved_to: Option<FailureDomain>,
    /// Whether the run has moved and was adopted there.
    #[serde(default)]
    pub(super) is_delivered: bool,
    #[serde(skip)]
    waiting: BTreeSet<u32>,
    #[serde(skip)]
    open: u32,
}

impl Run {
    /// Creates an active run with all tasks waiting.
    pub(super) fn new(offset: Offset, spec: Box<RunSpec>) -> Self {
        let initial = TaskState::Waiting {
            attempts: 0,
            failures: 0,
            checkpoint: None,
        };
        let mut run = Self {
            offset,
            tasks: vec![initial; spec.settings.tasks as usize],
            spec,
            done: 0,
            status: RunStatus::Active,
            is_overdue: false,
            cause: None,
            failed_on: BTreeMap::new(),
            crashes: BTreeMap::new(),
            moves: 0,
            moved_to: None,
            is_delivered: false,
            waiting: BTreeSet::new(),
            open: 0,
        };
        run.rebuild_task_indexes();
        run
    }

    /// Creates an active run from the states of its tasks in another shard.
    pub(super) fn adopted(offset: Offset, moved: MovedRun) -> Self {
        let mut run = Self::new(offset, moved.spec);
        run.done = moved.tasks.iter().filter(|task| task.is_done()).count() as u32;
        run.tasks = moved.tasks;
        run.is_overdue = moved.is_overdue;
        run.failed_on = moved.failed_on;
        run.crashes = moved.crashes;
        run.moves = moved.moves;
        run.rebuild_task_indexes();
        run
    }

    /// Returns whether the run has left and was not adopted yet, as far as is recorded.
    pub(super) fn is_undelivered(&self) -> bool {
        self.status == RunStatus::Moved && !self.is_delivered
    }

    /// Returns the indexes of the tasks that wait for a worker.
    pub fn waiting_tasks(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Returns the number of tasks with an open attempt.
    pub fn open_tasks(&self) -> u32 {
        self.open
    }

    /// Returns whether an open attempt of the run is still needed: the run is active, and the task
    /// has not succeeded in an earlier attempt.
    pub fn needs_attempt(&self, attempt: &AttemptId) -> bool {
        let task = self.tasks.get(attempt.task.index as usize);
        self.status == RunStatus::Active && matches!(task, Some(TaskState::Open { .. }))
    }

    /// Returns a task that must not start again, because it is the likely cause of lost workers.
    pub fn crash_looping_task(&self) -> Option<u32> {
        let mut counts = self.crashes.iter();
        let is_over = |(_, count): &(&u32, &u32)| **count >= CRASHES_MAX;
        counts.find(is_over).map(|(index, _)| *index)
    }

    /// Returns whether the run and all its attempts have ended.
    pub fn is_closed(&self) -> bool {
        self.status != RunStatus::Active && self.open == 0 && !self.is_undelivered()
    }

    /// Sets the state of an existing task and updates the derived counters.
    pub(super) fn set_task(&mut self, index: u32, state: TaskState) {
        let task = &mut self.tasks[index as usize];
        self.open -= u32::from(task.has_open_attempt());
        self.open += u32::from(state.has_open_attempt());
        if matches!(state, TaskState::Waiting { .. }) {
            self.waiting.insert(index);
        } else {
            self.waiting.remove(&index);
        }
        *task = state;
    }

    /// Ends the run. Waiting tasks never start; open attempts hold their resources until they end.
    pub(super) fn end(&mut self, status: RunStatus) {
        self.status = status;
        for index in std::mem::take(&mut self.waiting) {
            self.tasks[index as usize] = TaskState::Ended;
        }
    }

    /// Discards the task details of a closed run to bound the memory of retained runs.
    pub(super) fn discard_tasks(&mut self) {
        self.tasks = Vec::new();
        self.failed_on.clear();
        self.crashes.clear();
        self.waiting.clear();
    }

    /// Rebuilds the indexes that are derived from the task states.
    pub(super) fn rebuild_task_indexes(&mut self) {
        let indexed = || (0..).zip(&self.tasks);
        self.waiting = indexed()
            .filter(|(_, task)| matches!(task, TaskState::Waiting { .. }))
            .map(|(index, _)| index)
            .collect();
        self.open = indexed()
            .filter(|(_, task)| task.has_open_attempt())
            .count() as u32;
    }
}
