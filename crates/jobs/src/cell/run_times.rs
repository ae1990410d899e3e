use tokio::time::Instant;

use super::CellState;
use crate::fleet::Executor;
use crate::fleet::RunView;
use crate::ledger::encode;
use crate::model::ExecutorId;
use crate::model::QueueName;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::platform::KeyedRecord;
use crate::policy::LearnedRunTime;
use crate::policy::RunTimeRatio;

/// The store key of the run time ratios that an owner has learned.
pub(crate) const RUN_TIMES_KEY: &str = "learned-run-times";

/// The penalty of an executor for each unit of slowdown. The best fit is worth 1 at most, so that an
/// executor of half the usual speed comes after all others on which a task fits.
const SLOWDOWN_PENALTY: f64 = 2.0;

/// Returns how much worse an executor is for a task because of its speed. Fillers and long-running tasks
/// have criteria of their own.
pub(super) fn speed_penalty(step: &StepSpec, executor: &Executor, now: Instant) -> f64 {
    match step.is_filler || step.is_long_running {
        true => 0.0,
        false => SLOWDOWN_PENALTY * executor.speed.slowdown(now),
    }
}

/// What the ends of runs teach about run times.
impl CellState {
    /// Learns from a run that is done, before its job is told.
    ///
    /// A run counts if this owner saw its start, if it worked at full pace throughout, and if it did
    /// the whole work of its task. Runs that are slower for a known reason don't count: those away
    /// from their data, and members of gangs, which end with the first member that is done.
    pub(super) fn learn_run_time(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        view: &RunView,
        now: Instant,
    ) {
        let Some(since) = view.full_pace_since else {
            return;
        };
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let Some(progress) = job.task(task).filter(|found| found.run == view.run) else {
            return;
        };
        let step = job.step(task.step);
        let executor = self.executors.get(id);
        let has_label =
            |label| executor.is_some_and(|executor| executor.entry.labels.contains(label));
        if progress.checkpoint.is_some()
            || step.is_long_running
            || step.is_gang
            || step
                .preferred_rack
                .as_ref()
                .is_some_and(|rack| !has_label(rack))
        {
            return;
        }
        let queue = &job.submission().queue.name;
        let measured = now.duration_since(since);
        let slowdown = self.step_run_times.record(
            task,
            id,
            measured.as_secs_f64() * 1_000.0,
            step.estimate_ms,
            self.run_times.known_ratio(queue),
        );
        self.run_times.record(queue, step.estimate_ms, measured);
        if let (Some((slowdown, variance)), Some(executor)) = (slowdown, self.executors.get_mut(id))
        {
            executor.speed.record(slowdown, variance, now);
        }
    }

    /// Returns how the run times of a queue relate to the clients' estimates.
    pub fn run_time_ratio(&self, queue: &QueueName) -> RunTimeRatio {
        self.run_times.ratio(queue)
    }

    /// Restores the run time ratios that a former owner learned.
    pub fn restore_run_times(&mut self, learned: Vec<LearnedRunTime>) {
        self.run_times.restore(learned);
    }

    /// Returns the record of the learned run time ratios; `None` if there are none.
    pub(super) fn run_times_record(&self) -> Option<KeyedRecord> {
        let learned = self.run_times.learned();
        if learned.is_empty() {
            return None;
        }
        let value = encode(&learned).ok()?;
        let key = RUN_TIMES_KEY.into();
        Some(KeyedRecord { key, value })
    }
}
