use std::collections::BTreeSet;

use crate::model::RunNumber;
use crate::model::TaskId;

/// The runs of a job that were given up without knowing how they ended.
///
/// Stored beside the progress of the job, so that the next owner counts a failure that becomes known
/// later. The progress can't hold them: processes of an earlier version could not read it any more.
#[derive(Clone, Debug, Default)]
pub struct LostRuns {
    runs: BTreeSet<(TaskId, RunNumber)>,
    /// Whether the store holds other runs than these.
    is_dirty: bool,
    /// Whether the store holds a record.
    is_stored: bool,
}

impl LostRuns {
    /// Restores the runs that a former owner stored.
    pub fn restore(&mut self, stored: Vec<(TaskId, RunNumber)>) {
        self.runs.extend(stored);
        self.is_stored = true;
    }

    /// Adds a run that is given up.
    pub fn add(&mut self, task: TaskId, run: RunNumber) {
        self.is_dirty |= self.runs.insert((task, run));
    }

    /// Removes a run whose end is known now. Returns whether it was one of these runs.
    pub fn remove(&mut self, task: TaskId, run: RunNumber) -> bool {
        let is_removed = self.runs.remove(&(task, run));
        self.is_dirty |= is_removed;
        is_removed
    }

    /// Removes all runs: the job has ended, and no failure counts any more.
    pub fn clear(&mut self) {
        self.is_dirty |= !self.runs.is_empty();
        self.runs.clear();
    }

    /// Returns the runs to store if they differ from the stored ones. An empty list deletes the record.
    pub fn take_change(&mut self) -> Option<Vec<(TaskId, RunNumber)>> {
        let is_dirty = std::mem::take(&mut self.is_dirty);
        let was_stored = std::mem::replace(&mut self.is_stored, !self.runs.is_empty());
        (is_dirty && (was_stored || self.is_stored)).then(|| self.runs.iter().copied().collect())
    }
}
