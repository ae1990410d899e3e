use std::collections::BTreeMap;

use super::JobProgress;
use super::ProgressParts;
use super::TaskProgress;

/// The records of the progress of one job, as a new owner reads them.
#[derive(Clone, Debug, Default)]
pub struct StoredProgress {
    /// The outcome, and the first part of the tasks or all of them.
    first: JobProgress,
    /// The further parts by their numbers.
    further: BTreeMap<usize, Vec<TaskProgress>>,
}

impl StoredProgress {
    /// Adds the record of a part; the first one is number 0.
    pub fn add(&mut self, part: usize, progress: JobProgress) {
        match part {
            0 => self.first = progress,
            _ => {
                self.further.insert(part, progress.tasks);
            }
        }
    }

    /// Returns the numbers of the stored parts after the first one.
    pub fn further_parts(&self) -> impl Iterator<Item = usize> {
        self.further.keys().copied()
    }

    /// Returns whether the job has ended: its last record lists no tasks.
    pub fn is_finished(&self) -> bool {
        self.first.outcome.is_some() && self.first.tasks.is_empty()
    }

    /// Combines the records into the progress of a job with `task_count` tasks over all occurrences.
    ///
    /// The first record precedes a split if it is longer than a part. The effects of the records of the
    /// split depend on all of them, so what the first one lists is as good as what they do.
    pub fn into_progress(self, task_count: usize) -> JobProgress {
        let mut progress = self.first;
        for (part, stored) in self.further {
            let range = ProgressParts::task_range(part, task_count);
            for (index, task) in range.zip(stored) {
                if index >= progress.tasks.len() {
                    progress.tasks.resize(index, TaskProgress::default());
                    progress.tasks.push(task);
                }
            }
        }
        progress
    }
}
