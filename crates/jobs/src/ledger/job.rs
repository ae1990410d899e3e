use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::time::Instant;

use super::CrashHistory;
use super::JobProgress;
use super::LostRuns;
use super::ProgressParts;
use super::TaskProgress;
use super::TaskStatus;
use crate::model::Checkpoint;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::RunNumber;
use crate::model::StepSpec;
use crate::model::Submission;
use crate::model::TaskId;

/// A step of one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepRef {
    /// The number of the occurrence, from 0.
    pub occurrence: u32,
    /// The number of the step within the job, from 0.
    pub step: u32,
}

impl From<TaskId> for StepRef {
    fn from(task: TaskId) -> Self {
        Self {
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// The tasks of a step by status; the others wait.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    done: u32,
    placed: u32,
}

/// An active job: one that is not final yet, or that still has placed tasks.
#[derive(Clone, Debug)]
pub struct Job {
    id: JobId,
    submission: Arc<Submission>,
    progress: JobProgress,
    /// The parts in which the progress is stored.
    parts: ProgressParts,
    /// The index of each step's first task within an occurrence.
    step_offsets: Vec<usize>,
    tasks_per_occurrence: usize,
    counts: Vec<StepCounts>,
    is_cancelled: bool,
    /// Whether any task was placed, even if its start was refused.
    was_placed: bool,
    /// Whether any executor is known to have started a task.
    has_started: bool,
    accepted_at: Instant,
    /// Runs that were given up without knowing how they ended.
    lost_runs: LostRuns,
    /// The executors that were lost with runs of the job.
    crash_history: CrashHistory,
}

impl Job {
    /// Creates a job from its stored submission and progress.
    pub fn new(
        id: JobId,
        submission: Arc<Submission>,
        progress: JobProgress,
        accepted_at: Instant,
    ) -> Self {
        let mut tasks_per_occurrence = 0;
        let step_offsets = submission
            .spec
            .steps
            .iter()
            .map(|step| {
                let start = tasks_per_occurrence;
                tasks_per_occurrence += step.count as usize;
                start
            })
            .collect();
        let mut job = Self {
            id,
            submission,
            was_placed: progress.tasks.iter().any(|task| task.run.0 > 0),
            has_started: progress.tasks.iter().any(|task| {
                task.status == TaskStatus::Done || task.failures > 0 || task.checkpoint.is_some()
            }),
            is_cancelled: progress.outcome == Some(JobState::Cancelled),
            progress,
            parts: ProgressParts::default(),
            step_offsets,
            tasks_per_occurrence,
            counts: Vec::new(),
            accepted_at,
            lost_runs: LostRuns::default(),
            crash_history: CrashHistory::default(),
        };
        if job.submission.spec.schedule.is_none() {
            job.create_occurrences(1);
        }
        let created_count = job.progress.tasks.len().div_ceil(tasks_per_occurrence);
        job.create_occurrences(created_count as u32);
        job.recount();
        job
    }

    /// Returns the id that the client chose.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Returns the stored submission.
    pub fn submission(&self) -> &Arc<Submission> {
        &self.submission
    }

    /// Returns the progress of all tasks.
    pub fn progress(&self) -> &JobProgress {
        &self.progress
    }

    /// Returns the parts in which the progress is stored.
    pub fn progress_parts(&self) -> &ProgressParts {
        &self.parts
    }

    /// Stores the progress in several records from now on, because it is too large for one.
    pub fn split_progress(&mut self) {
        self.parts.split(self.progress.tasks.len());
    }

    /// Removes and returns the numbers of the parts of a split progress that have changed since they
    /// were last stored.
    pub fn take_changed_parts(&mut self) -> BTreeSet<usize> {
        self.parts.take_changed()
    }

    /// Returns the time of acceptance on this process's steady clock.
    pub fn accepted_at(&self) -> Instant {
        self.accepted_at
    }

    /// Returns the specification of a step; panics if the job has no step of this number.
    pub fn step(&self, number: u32) -> &StepSpec {
        &self.submission.spec.steps[number as usize]
    }

    /// Returns whether the client has cancelled the job.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    /// Returns whether further tasks may start.
    pub fn is_open(&self) -> bool {
        !self.is_cancelled && self.progress.outcome.is_none()
    }

    /// Returns the state that clients may see once the progress is stored.
    pub fn state(&self) -> JobState {
        match self.progress.outcome {
            Some(outcome) => outcome,
            None if self.is_cancelled => JobState::Cancelled,
            None if self.was_placed => JobState::Running,
            None => JobState::Pending,
        }
    }

    /// Returns whether the job is open and no task is known to have started.
    ///
    /// The record of a placement precedes the start, so neither it nor a run number shows a start.
    pub fn is_pending(&self) -> bool {
        self.is_open() && !self.has_started
    }

    /// Records that an executor has started a task.
    pub fn mark_started(&mut self) {
        self.has_started = true;
    }

    /// Returns whether the state is final and no task is placed any more.
    pub fn is_finished(&self) -> bool {
        self.state().is_final() && self.counts.iter().all(|counts| counts.placed == 0)
    }

    /// Creates the tasks of the first `count` occurrences and returns whether some are new.
    pub fn create_occurrences(&mut self, count: u32) -> bool {
        let count = count.min(self.submission.spec.occurrence_count()) as usize;
        let created = self.counts.len() / self.step_offsets.len();
        if count <= created {
            return false;
        }
        let default = TaskProgress::default();
        let tasks = count * self.tasks_per_occurrence;
        self.progress.tasks.resize(tasks, default);
        let steps = count * self.step_offsets.len();
        self.counts.resize(steps, StepCounts::default());
        true
    }

    /// Returns the number of occurrences whose tasks exist.
    pub fn created_occurrence_count(&self) -> u32 {
        (self.counts.len() / self.step_offsets.len()) as u32
    }

    /// Returns the progress of a task, or `None` if the job has no such task.
    pub fn task(&self, task: TaskId) -> Option<&TaskProgress> {
        self.progress_index(task)
            .and_then(|index| self.progress.tasks.get(index))
    }

    /// Returns whether this run is the newest one of its task and placed on this executor.
    pub fn is_placed(&self, task: TaskId, run: RunNumber, executor: &ExecutorKey) -> bool {
        self.task(task).is_some_and(|progress| {
            progress.run == run && progress.status == TaskStatus::Placed(executor.clone())
        })
    }

    /// Returns the tasks of a step in the order of their indexes.
    pub fn step_tasks(&self, step_ref: StepRef) -> impl Iterator<Item = (TaskId, &TaskProgress)> {
        let start = self.tasks_per_occurrence * step_ref.occurrence as usize
            + self.step_offsets[step_ref.step as usize];
        let count = self.step(step_ref.step).count;
        let job = self.id;
        let tasks = self.progress.tasks.iter().skip(start);
        (0..count).zip(tasks).map(move |(index, progress)| {
            let task = TaskId {
                job,
                occurrence: step_ref.occurrence,
                step: step_ref.step,
                index,
            };
            (task, progress)
        })
    }

    /// Returns the tasks that are placed on any executor.
    pub fn placed_tasks(&self) -> impl Iterator<Item = (TaskId, &TaskProgress, &ExecutorKey)> {
        self.steps()
            .flat_map(|step_ref| self.step_tasks(step_ref))
            .filter_map(|(task, progress)| match &progress.status {
                TaskStatus::Placed(executor) => Some((task, progress, executor)),
                _ => None,
            })
    }

    /// Returns the steps of all created occurrences.
    pub fn steps(&self) -> impl Iterator<Item = StepRef> {
        let steps = self.step_offsets.len() as u32;
        (0..self.created_occurrence_count())
            .flat_map(move |occurrence| (0..steps).map(move |step| StepRef { occurrence, step }))
    }

    /// Returns the steps that have waiting tasks and whose predecessors are done.
    pub fn ready_steps(&self) -> impl Iterator<Item = StepRef> {
        self.steps().filter(|step_ref| {
            let counts = self.counts[self.counts_index(*step_ref)];
            let step = self.step(step_ref.step);
            let has_waiting_tasks = counts.done + counts.placed < step.count;
            has_waiting_tasks
                && step
                    .after
                    .iter()
                    .all(|predecessor| self.is_step_done(step_ref, *predecessor))
        })
    }

    /// Returns whether any task is placed on an executor.
    pub fn has_placed_tasks(&self) -> bool {
        self.counts.iter().any(|counts| counts.placed > 0)
    }

    /// Returns the number of done tasks of a step.
    pub fn done_count(&self, step_ref: StepRef) -> u32 {
        self.counts[self.counts_index(step_ref)].done
    }

    /// Returns the number of waiting tasks of a step.
    pub fn waiting_count(&self, step_ref: StepRef) -> u32 {
        let counts = self.counts[self.counts_index(step_ref)];
        self.step(step_ref.step).count - counts.done - counts.placed
    }

    /// Places a waiting task on an executor and returns the number of the run.
    pub fn place(&mut self, task: TaskId, executor: ExecutorKey) -> Option<RunNumber> {
        self.place_with_run(task, executor, None)
    }

    /// Places a waiting task on an executor with at least the given run number.
    pub fn place_with_run(
        &mut self,
        task: TaskId,
        executor: ExecutorKey,
        run: Option<RunNumber>,
    ) -> Option<RunNumber> {
        let index = self.progress_index(task)?;
        let progress = self.progress.tasks.get_mut(index)?;
        if progress.status != TaskStatus::Waiting {
            return None;
        }
        self.parts.mark_changed(index);
        progress.run = progress.run.next().max(run.unwrap_or_default());
        progress.status = TaskStatus::Placed(executor);
        let run = progress.run;
        self.was_placed = true;
        self.counts_mut(task).placed += 1;
        Some(run)
    }

    /// Reassigns a run to another incarnation of its executor, which was found to have accepted it.
    pub fn reassign_run(&mut self, task: TaskId, run: RunNumber, executor: ExecutorKey) {
        let Some(index) = self.progress_index(task) else {
            return;
        };
        let progress = &mut self.progress.tasks[index];
        if progress.run == run && matches!(progress.status, TaskStatus::Placed(_)) {
            progress.status = TaskStatus::Placed(executor);
            self.parts.mark_changed(index);
        }
    }

    /// Lets a placed task wait again, after its run failed to start or ended before it was done.
    pub fn requeue(&mut self, task: TaskId, checkpoint: Option<Checkpoint>, has_failed: bool) {
        let Some(index) = self.progress_index(task) else {
            return;
        };
        let progress = &mut self.progress.tasks[index];
        if !matches!(progress.status, TaskStatus::Placed(_)) {
            return;
        }
        self.parts.mark_changed(index);
        progress.status = TaskStatus::Waiting;
        progress.failures += u32::from(has_failed);
        if checkpoint.is_some() {
            progress.checkpoint = checkpoint;
        }
        self.counts_mut(task).placed -= 1;
    }

    /// Lets a placed task wait again, after its run was lost: how it ended may still become known.
    pub fn requeue_lost(&mut self, task: TaskId, checkpoint: Option<Checkpoint>) {
        let run = self.task(task).map(|progress| progress.run);
        self.requeue(task, checkpoint, false);
        // Long-running tasks have no limit of attempts.
        if let Some(run) = run.filter(|_| !self.step(task.step).is_long_running) {
            self.lost_runs.add(task, run);
        }
    }

    /// Counts the failure of a run that was lost. Returns `false` if the run is not a lost one, such as
    /// one whose failure was counted before.
    pub fn record_lost_failure(&mut self, task: TaskId, run: RunNumber) -> bool {
        if !self.lost_runs.remove(task, run) {
            return false;
        }
        if let Some(index) = self.progress_index(task) {
            self.progress.tasks[index].failures += 1;
            self.parts.mark_changed(index);
        }
        true
    }

    /// Returns the runs that were given up without knowing how they ended.
    pub fn lost_runs_mut(&mut self) -> &mut LostRuns {
        &mut self.lost_runs
    }

    /// Returns the executors that were lost with runs of the job.
    pub fn crash_history(&self) -> &CrashHistory {
        &self.crash_history
    }

    /// Returns the executors that were lost with runs of the job, for changes.
    pub fn crash_history_mut(&mut self) -> &mut CrashHistory {
        &mut self.crash_history
    }

    /// Marks a task as done. For a gang, one member's completion counts for all members.
    pub fn complete_task(&mut self, task: TaskId) {
        let step_ref = StepRef::from(task);
        if self.step(task.step).is_gang {
            let members: Vec<TaskId> = self
                .step_tasks(step_ref)
                .map(|(member, _)| member)
                .collect();
            for member in members {
                self.complete_one(member);
            }
        } else {
            self.complete_one(task);
        }
        if self.progress.outcome.is_none() && !self.is_cancelled && self.are_all_tasks_done() {
            self.progress.outcome = Some(JobState::Completed);
        }
    }

    /// Marks the job as failed if the task, or its gang as a whole, has exhausted its attempts.
    pub fn fail_if_exhausted(&mut self, task: TaskId, attempts_max: u32) {
        let step = self.step(task.step);
        if step.is_long_running || !self.is_open() {
            return;
        }
        let step_ref = StepRef::from(task);
        let failures = if step.is_gang {
            self.step_tasks(step_ref)
                .map(|(_, member)| member.failures)
                .sum()
        } else {
            self.task(task).map_or(0, |progress| progress.failures)
        };
        if failures >= attempts_max {
            self.progress.outcome = Some(JobState::Failed);
        }
    }

    /// Gives the job up and returns whether the job was open.
    pub fn give_up(&mut self) -> bool {
        let is_open = self.is_open();
        if is_open {
            self.progress.outcome = Some(JobState::Failed);
        }
        is_open
    }

    /// Cancels the job and returns whether the job was open.
    pub fn cancel(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.is_cancelled = true;
        self.progress.outcome = Some(JobState::Cancelled);
        true
    }

    fn complete_one(&mut self, task: TaskId) {
        let Some(index) = self.progress_index(task) else {
            return;
        };
        self.parts.mark_changed(index);
        let progress = &mut self.progress.tasks[index];
        let previous = std::mem::replace(&mut progress.status, TaskStatus::Done);
        progress.checkpoint = None;
        let counts = self.counts_mut(task);
        match previous {
            TaskStatus::Done => {}
            TaskStatus::Placed(_) => {
                counts.placed -= 1;
                counts.done += 1;
            }
            TaskStatus::Waiting => counts.done += 1,
        }
    }

    fn are_all_tasks_done(&self) -> bool {
        self.created_occurrence_count() == self.submission.spec.occurrence_count()
            && self
                .steps()
                .all(|at| self.counts[self.counts_index(at)].done == self.step(at.step).count)
    }

    fn is_step_done(&self, step_ref: &StepRef, step: u32) -> bool {
        let predecessor = StepRef { step, ..*step_ref };
        self.counts[self.counts_index(predecessor)].done == self.step(step).count
    }

    fn recount(&mut self) {
        let steps: Vec<StepRef> = self.steps().collect();
        for step_ref in steps {
            let mut counts = StepCounts::default();
            for (_, progress) in self.step_tasks(step_ref) {
                match progress.status {
                    TaskStatus::Waiting => {}
                    TaskStatus::Placed(_) => counts.placed += 1,
                    TaskStatus::Done => counts.done += 1,
                }
            }
            let index = self.counts_index(step_ref);
            self.counts[index] = counts;
        }
    }

    fn counts_index(&self, step_ref: StepRef) -> usize {
        step_ref.occurrence as usize * self.step_offsets.len() + step_ref.step as usize
    }

    fn counts_mut(&mut self, task: TaskId) -> &mut StepCounts {
        let index = self.counts_index(task.into());
        &mut self.counts[index]
    }

    fn progress_index(&self, task: TaskId) -> Option<usize> {
        let start = self.step_offsets.get(task.step as usize)?;
        let exists = task.job == self.id
            && task.occurrence < self.created_occurrence_count()
            && task.index < self.step(task.step).count;
        exists.then(|| {
            self.tasks_per_occurrence * task.occurrence as usize + start + task.index as usize
        })
    }
}
