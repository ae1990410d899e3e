use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use super::RunSpec;

/// How far a run has come.
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
    /// Some tasks have not ended.
    Active,
    /// Every task succeeded.
    Complete,
    /// A task failed too often.
    Failed,
    /// The run was cancelled.
    Cancelled,
}

/// The state of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting {
        /// The number of attempts so far.
        attempts: u32,
        /// The number of attempts that failed.
        failures: u32,
        /// Where the next attempt resumes.
        checkpoint: Option<Box<str>>,
    },
    /// An attempt is open at a worker.
    Open {
        /// The attempt's number.
        number: u32,
        /// The number of earlier attempts that failed.
        failures: u32,
        /// Where the attempt resumed.
        checkpoint: Option<Box<str>>,
        /// The worker.
        worker: WorkerId,
    },
    /// The task's result stands.
    Done,
    /// The task ended without a result.
    Ended,
}

/// An accepted run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The offset of the accepted submission.
    pub offset: Offset,
    /// What the run asks for.
    pub spec: Box<RunSpec>,
    /// Its tasks by index; empty once the run and all its attempts have ended.
    pub tasks: Vec<TaskState>,
    /// The number of tasks whose result stands.
    pub done: u32,
    /// How far the run has come.
    pub status: RunStatus,
    /// Whether the run passed its deadline while active.
    pub is_overdue: bool,
    /// Why the run failed.
    pub cause: Option<Box<str>>,
    /// The workers on which each task failed.
    pub failed_on: BTreeMap<u32, BTreeSet<WorkerId>>,
    #[serde(skip)]
    waiting: BTreeSet<u32>,
    #[serde(skip)]
    open: u32,
}

impl Run {
    /// Creates an active run whose tasks all wait.
    pub(super) fn new(offset: Offset, spec: Box<RunSpec>) -> Self {
        let first = TaskState::Waiting {
            attempts: 0,
            failures: 0,
            checkpoint: None,
        };
        let mut run = Self {
            offset,
            tasks: vec![first; spec.settings.tasks as usize],
            spec,
            done: 0,
            status: RunStatus::Active,
            is_overdue: false,
            cause: None,
            failed_on: BTreeMap::new(),
            waiting: BTreeSet::new(),
            open: 0,
        };
        run.index_tasks();
        run
    }

    /// Returns the indexes of the tasks that wait for a worker.
    pub fn waiting_tasks(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Returns the number of tasks with an open attempt.
    pub fn open_tasks(&self) -> u32 {
        self.open
    }

    /// Returns whether the run and all its attempts have ended.
    pub fn is_closed(&self) -> bool {
        self.status != RunStatus::Active && self.open == 0
    }

    /// Replaces the state of a known task.
    pub(super) fn set_task(&mut self, index: u32, state: TaskState) {
        let task = &mut self.tasks[index as usize];
        self.open -= u32::from(matches!(task, TaskState::Open { .. }));
        self.open += u32::from(matches!(state, TaskState::Open { .. }));
        if matches!(state, TaskState::Waiting { .. }) {
            self.waiting.insert(index);
        } else {
            self.waiting.remove(&index);
        }
        *task = state;
    }

    /// Ends the run: tasks that wait never start; open ones keep their worker until they end.
    pub(super) fn end(&mut self, status: RunStatus) {
        self.status = status;
        for index in std::mem::take(&mut self.waiting) {
            self.tasks[index as usize] = TaskState::Ended;
        }
    }

    /// Drops what a closed run no longer needs.
    pub(super) fn close(&mut self) {
        self.tasks = Vec::new();
        self.failed_on.clear();
    }

    /// Rebuilds what is derived from the tasks.
    pub(super) fn index_tasks(&mut self) {
        let indexed = || (0..).zip(&self.tasks);
        self.waiting = indexed()
            .filter(|(_, task)| matches!(task, TaskState::Waiting { .. }))
            .map(|(index, _)| index)
            .collect();
        self.open = indexed()
            .filter(|(_, task)| matches!(task, TaskState::Open { .. }))
            .count() as u32;
    }
}
