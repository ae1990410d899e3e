use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::side_record::SideRecord;
use crate::model::ExecutorKey;
use crate::model::TaskId;
use crate::policy::CrashFacts;

/// Limits the tasks of one job whose lost executors are remembered, which bounds the record.
pub const REMEMBERED_TASKS_MAX: usize = 1_024;
/// The shortest time after which a run shows that its task does not crash executors.
const CLEARANCE_MIN: Duration = Duration::from_millis(1_000);
/// How much longer than at any crash so far a run must last to show this, as a factor and a time.
const CLEARANCE_FACTOR: f64 = 1.5;
const CLEARANCE_MARGIN: Duration = Duration::from_millis(500);

/// The executors that were lost while they ran a task, since the task last outlived such a loss.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The number of lost executors.
    pub lost: u32,
    /// The number of these on which no other task is a likelier cause.
    pub suspected: u32,
    /// The number of these that crashed as a run of the task began.
    pub at_start: u32,
    /// The longest time that a run had lasted when its executor was lost, in milliseconds.
    pub longest_age_ms: u64,
    /// The last of these executors, and how it was lost.
    last: Option<(ExecutorKey, Loss)>,
}

/// How an executor was lost while it ran a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Whether its process is known to have ended.
    pub has_crashed: bool,
    /// Whether no other task is a likelier cause.
    pub is_suspected: bool,
    /// Whether the crash happened as the run began.
    pub is_at_start: bool,
    /// How long the run had lasted, in milliseconds.
    pub age_ms: u64,
}

impl TaskCrashes {
    /// Returns the counts, as far as they decide about the task.
    pub fn facts(&self) -> CrashFacts {
        CrashFacts {
            lost: self.lost,
            suspected: self.suspected,
            at_start: self.at_start,
            ..CrashFacts::default()
        }
    }

    /// Returns how long a run must last to show that its task does not crash executors.
    pub fn clearance(&self) -> Duration {
        let longest_age = Duration::from_millis(self.longest_age_ms);
        let outlived = longest_age.mul_f64(CLEARANCE_FACTOR) + CLEARANCE_MARGIN;
        outlived.max(CLEARANCE_MIN)
    }

    /// Returns the last of these executors, unless it has answered since.
    pub fn last_executor(&self) -> Option<&ExecutorKey> {
        self.last.as_ref().map(|(executor, _)| executor)
    }

    /// Returns the losses but that of the given executor, if it is the last one.
    pub fn without(&self, executor: &ExecutorKey) -> Self {
        let mut others = self.clone();
        others.retract(executor);
        others
    }

    /// Counts a lost executor once, and its crash once it is known. Returns whether this was new.
    fn record(&mut self, executor: &ExecutorKey, loss: Loss) -> bool {
        let known = match &self.last {
            Some((last, known)) if last == executor => Some(*known),
            _ => None,
        };
        if known.is_some_and(|known| known.has_crashed || !loss.has_crashed) {
            return false;
        }
        if known.is_some() {
            self.retract(executor);
        }
        self.lost += 1;
        self.suspected += u32::from(loss.is_suspected);
        self.at_start += u32::from(loss.is_at_start);
        self.longest_age_ms = self.longest_age_ms.max(loss.age_ms);
        self.last = Some((executor.clone(), loss));
        true
    }

    /// Takes back the loss of an executor. Returns whether it was counted.
    fn retract(&mut self, executor: &ExecutorKey) -> bool {
        let Some((_, loss)) = self.last.take_if(|(last, _)| last == executor) else {
            return false;
        };
        self.lost -= 1;
        self.suspected -= u32::from(loss.is_suspected);
        self.at_start -= u32::from(loss.is_at_start);
        true
    }
}

/// The lost executors of a job's tasks, stored beside the progress of the job.
///
/// The record of a loss is stored with the record that lets the task wait again, so each later start
/// follows it, whoever owns the cell.
#[derive(Clone, Debug, Default)]
pub struct CrashHistory {
    tasks: BTreeMap<TaskId, TaskCrashes>,
    record: SideRecord,
}

impl CrashHistory {
    /// Restores one of the records that a former owner stored.
    pub fn restore(&mut self, part: usize, stored: Vec<(TaskId, TaskCrashes)>) {
        self.tasks.extend(stored);
        self.record.mark_stored(part);
    }

    /// Returns the lost executors of a task, if there are any.
    pub fn task(&self, task: TaskId) -> Option<&TaskCrashes> {
        self.tasks.get(&task)
    }

    /// Returns the tasks that have lost executors.
    pub fn tasks(&self) -> impl Iterator<Item = (&TaskId, &TaskCrashes)> {
        self.tasks.iter()
    }

    /// Counts an executor that was lost while it ran the task. Repeats change nothing, except that
    /// its crash may become known.
    pub fn record(&mut self, task: TaskId, executor: &ExecutorKey, loss: Loss) {
        if !self.tasks.contains_key(&task) && self.tasks.len() >= REMEMBERED_TASKS_MAX {
            let fewest = self.tasks.iter().min_by_key(|(_, crashes)| crashes.lost);
            if let Some(fewest) = fewest.map(|(task, _)| *task) {
                self.tasks.remove(&fewest);
            }
        }
        let crashes = self.tasks.entry(task).or_default();
        let is_new = crashes.record(executor, loss);
        self.record.mark_dirty(is_new);
    }

    /// Takes back the loss of an executor that has answered since.
    pub fn retract(&mut self, task: TaskId, executor: &ExecutorKey) {
        let Some(crashes) = self.tasks.get_mut(&task) else {
            return;
        };
        let is_retracted = crashes.retract(executor);
        self.record.mark_dirty(is_retracted);
        if crashes.lost == 0 {
            self.tasks.remove(&task);
        }
    }

    /// Forgets the lost executors of a task, whose run has outlived them. Returns whether there were
    /// any.
    pub fn clear_task(&mut self, task: TaskId) -> bool {
        let is_cleared = self.tasks.remove(&task).is_some();
        self.record.mark_dirty(is_cleared);
        is_cleared
    }

    /// Forgets everything: the job has ended.
    pub fn clear(&mut self) {
        self.record.mark_dirty(!self.tasks.is_empty());
        self.tasks.clear();
    }

    /// Returns the history to store if it differs from the stored one. An empty list deletes the
    /// record.
    pub fn take_change(&mut self) -> Option<Vec<(TaskId, TaskCrashes)>> {
        let must_store = self.record.take_change(self.tasks.is_empty());
        must_store.then(|| self.tasks.clone().into_iter().collect())
    }
    /// Returns what is known of the stored records.
    pub fn record_mut(&mut self) -> &mut SideRecord {
        &mut self.record
    }
}
