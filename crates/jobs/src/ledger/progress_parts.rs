use std::collections::BTreeSet;
use std::ops::Range;

/// The number of tasks in each part of a split progress. The store holds parts of this size, so another
/// number needs other keys.
///
/// With the longest executor ids, a part without checkpoints takes 28 KB.
pub const TASKS_PER_PART: usize = 100;

/// The parts in which the progress of a job is stored: one record, or one for each part once it is too
/// large for the store.
#[derive(Clone, Debug, Default)]
pub struct ProgressParts {
    is_split: bool,
    /// The numbers of the parts that the store holds an older version of.
    changed: BTreeSet<usize>,
}

impl ProgressParts {
    /// Returns whether each part has a record of its own.
    pub fn is_split(&self) -> bool {
        self.is_split
    }

    /// Returns the number of parts of a progress with this number of tasks.
    pub fn count(task_count: usize) -> usize {
        task_count.div_ceil(TASKS_PER_PART)
    }

    /// Returns the indexes of the tasks in a part.
    pub fn task_range(part: usize, task_count: usize) -> Range<usize> {
        let start = (part * TASKS_PER_PART).min(task_count);
        start..(start + TASKS_PER_PART).min(task_count)
    }

    pub(super) fn split(&mut self, task_count: usize) {
        self.is_split = true;
        self.changed = (0..Self::count(task_count)).collect();
    }

    pub(super) fn mark_changed(&mut self, task_index: usize) {
        if self.is_split {
            self.changed.insert(task_index / TASKS_PER_PART);
        }
    }

    pub(super) fn take_changed(&mut self) -> BTreeSet<usize> {
        std::mem::take(&mut self.changed)
    }
}
