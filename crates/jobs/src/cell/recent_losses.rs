use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::ExecutorKey;
use crate::model::TaskId;

/// How long lost executors are remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Limits the lost executors that are remembered.
const REMEMBERED_MAX: usize = 4_096;

/// An executor that was lost with its runs.
#[derive(Clone, Debug)]
pub(super) struct LostExecutor {
    pub(super) key: ExecutorKey,
    /// When it fell silent.
    pub(super) silent_since: Instant,
    /// Whether a start was sent to it just before.
    pub(super) had_just_started: bool,
    /// The tasks that the loss was counted for.
    pub(super) tasks: Vec<TaskId>,
}

/// The loss of an executor that may show a task to be the cause.
#[derive(Clone, Debug)]
pub(super) struct UnjudgedLoss {
    pub(super) executor: ExecutorKey,
    /// The time from which it can be judged.
    pub(super) due: Instant,
    /// Whether the executor ran the task in isolation.
    pub(super) was_isolated: bool,
}

/// The executors that were lost lately, from which the causes of their loss are told apart.
#[derive(Debug, Default)]
pub(super) struct RecentLosses {
    lost: VecDeque<LostExecutor>,
    /// The losses that are still to be judged, by task.
    unjudged: BTreeMap<TaskId, UnjudgedLoss>,
}

impl RecentLosses {
    /// Adds a lost executor, or further tasks of one that is known.
    pub(super) fn add(&mut self, lost: LostExecutor, now: Instant) {
        while self.lost.len() >= REMEMBERED_MAX
            || self
                .lost
                .front()
                .is_some_and(|first| first.silent_since + RETENTION < now)
        {
            self.lost.pop_front();
        }
        match self.lost.iter_mut().find(|other| other.key == lost.key) {
            Some(known) => known.tasks.extend(lost.tasks),
            None => self.lost.push_back(lost),
        }
    }

    /// Removes an executor that has answered a later request, and returns the tasks that its loss was
    /// counted for.
    pub(super) fn retract(&mut self, key: &ExecutorKey, requested_at: Instant) -> Vec<TaskId> {
        let is_retracted =
            |lost: &LostExecutor| lost.key == *key && lost.silent_since <= requested_at;
        let position = self.lost.iter().position(is_retracted);
        let Some(lost) = position.and_then(|position| self.lost.remove(position)) else {
            return Vec::new();
        };
        self.unjudged.retain(|_, loss| loss.executor != *key);
        lost.tasks
    }

    /// Lets the loss of an executor be judged, no later than an earlier one under the same task.
    pub(super) fn judge_later(&mut self, task: TaskId, loss: UnjudgedLoss) {
        let due = match self.unjudged.get(&task) {
            Some(earlier) => earlier.due.min(loss.due),
            None => loss.due,
        };
        self.unjudged.insert(task, UnjudgedLoss { due, ..loss });
    }

    /// Returns whether a loss under a task is still to be judged.
    pub(super) fn is_unjudged(&self, task: TaskId) -> bool {
        self.unjudged.contains_key(&task)
    }

    /// Removes and returns the losses that can be judged now, by task.
    pub(super) fn take_due(&mut self, now: Instant) -> BTreeMap<TaskId, UnjudgedLoss> {
        let (due, later) = std::mem::take(&mut self.unjudged)
            .into_iter()
            .partition(|(_, loss)| loss.due <= now);
        self.unjudged = later;
        due
    }

    /// Returns a lost executor.
    pub(super) fn get(&self, key: &ExecutorKey) -> Option<&LostExecutor> {
        self.lost.iter().find(|lost| lost.key == *key)
    }

    /// Returns all remembered executors.
    pub(super) fn iter(&self) -> impl Iterator<Item = &LostExecutor> {
        self.lost.iter()
    }
}
