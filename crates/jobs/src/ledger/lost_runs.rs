use std::collections::BTreeSet;

use super::side_record::SideRecord;
use crate::model::RunNumber;
use crate::model::TaskId;

/// The runs of a job that were given up without knowing how they ended.
///
/// Stored beside the progress of the job, so that the next owner counts a failure that becomes known
/// later.
#[derive(Clone, Debug, Default)]
pub struct LostRuns {
    runs: BTreeSet<(TaskId, RunNumber)>,
    record: SideRecord,
}

impl LostRuns {
    /// Restores the runs of one of the records that a former owner stored.
    pub fn restore(&mut self, part: usize, stored: Vec<(TaskId, RunNumber)>) {
        self.runs.extend(stored);
        self.record.mark_stored(part);
    }

    /// Adds a run that is given up.
    pub fn add(&mut self, task: TaskId, run: RunNumber) {
        let is_added = self.runs.insert((task, run));
        self.record.mark_dirty(is_added);
    }

    /// Removes a run whose end is known now. Returns whether it was one of these runs.
    pub fn remove(&mut self, task: TaskId, run: RunNumber) -> bool {
        let is_removed = self.runs.remove(&(task, run));
        self.record.mark_dirty(is_removed);
        is_removed
    }

    /// Removes all runs: the job has ended, and no failure counts any more.
    pub fn clear(&mut self) {
        self.record.mark_dirty(!self.runs.is_empty());
        self.runs.clear();
    }

    /// Returns the runs to store if they differ from the stored ones. An empty list deletes the record.
    pub fn take_change(&mut self) -> Option<Vec<(TaskId, RunNumber)>> {
        let must_store = self.record.take_change(self.runs.is_empty());
        must_store.then(|| self.runs.iter().copied().collect())
    }
    /// Returns what is known of the stored records.
    pub fn record_mut(&mut self) -> &mut SideRecord {
        &mut self.record
    }
}
