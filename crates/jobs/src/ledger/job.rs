use std::sync::Arc;

use tokio::time::Instant;

use super::JobProgress;
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
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step's number, from 0.
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

/// How many tasks of a step are where.
#[derive(Clone, Copy, Debug, Default)]
struct StepCounts {
    done: u32,
    placed: u32,
}

/// A job that is not finished, or that still has something running.
#[derive(Clone, Debug)]
pub struct Job {
    id: JobId,
    submission: Arc<Submission>,
    progress: JobProgress,
    /// Where the tasks of each step begin within an occurrence.
    step_starts: Vec<usize>,
    tasks_per_occurrence: usize,
    counts: Vec<StepCounts>,
    is_cancelled: bool,
    has_begun: bool,
    accepted_at: Instant,
}

impl Job {
    /// Creates a job from its records.
    pub fn new(
        id: JobId,
        submission: Arc<Submission>,
        progress: JobProgress,
        accepted_at: Instant,
    ) -> Self {
        let mut tasks_per_occurrence = 0;
        let step_starts = submission
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
            has_begun: progress.tasks.iter().any(|task| task.run.0 > 0),
            is_cancelled: progress.outcome == Some(JobState::Cancelled),
            progress,
            step_starts,
            tasks_per_occurrence,
            counts: Vec::new(),
            accepted_at,
        };
        if job.submission.spec.schedule.is_none() {
            job.open_occurrences(1);
        }
        let opened = job.progress.tasks.len().div_ceil(tasks_per_occurrence);
        job.open_occurrences(opened as u32);
        job.recount();
        job
    }

    /// Returns the id.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Returns what was submitted.
    pub fn submission(&self) -> &Arc<Submission> {
        &self.submission
    }

    /// Returns how far the job is.
    pub fn progress(&self) -> &JobProgress {
        &self.progress
    }

    /// Returns when this process counts the job as accepted.
    pub fn accepted_at(&self) -> Instant {
        self.accepted_at
    }

    /// Returns a step of the job.
    pub fn step(&self, number: u32) -> &StepSpec {
        &self.submission.spec.steps[number as usize]
    }

    /// Returns whether the job was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    /// Returns whether further tasks may start.
    pub fn is_open(&self) -> bool {
        !self.is_cancelled && self.progress.outcome.is_none()
    }

    /// Returns what the client may be told once the progress is stored.
    pub fn state(&self) -> JobState {
        match self.progress.outcome {
            Some(outcome) => outcome,
            None if self.is_cancelled => JobState::Cancelled,
            None if self.has_begun => JobState::Running,
            None => JobState::Pending,
        }
    }

    /// Returns whether nothing of the job is left to do or to wait for.
    pub fn is_finished(&self) -> bool {
        self.state().is_final() && self.counts.iter().all(|counts| counts.placed == 0)
    }

    /// Makes the tasks of the first occurrences known; returns whether some are new.
    pub fn open_occurrences(&mut self, count: u32) -> bool {
        let count = count.min(self.submission.spec.occurrence_count()) as usize;
        let known = self.counts.len() / self.step_starts.len();
        if count <= known {
            return false;
        }
        let default = TaskProgress::default();
        let tasks = count * self.tasks_per_occurrence;
        self.progress.tasks.resize(tasks, default);
        let steps = count * self.step_starts.len();
        self.counts.resize(steps, StepCounts::default());
        true
    }

    /// Returns the number of occurrences whose tasks are known.
    pub fn opened_occurrences(&self) -> u32 {
        (self.counts.len() / self.step_starts.len()) as u32
    }

    /// Returns a task's progress.
    pub fn task(&self, task: TaskId) -> Option<&TaskProgress> {
        self.position(task)
            .and_then(|position| self.progress.tasks.get(position))
    }

    /// Returns whether the task's newest run is this one, on this executor.
    pub fn is_placed(&self, task: TaskId, run: RunNumber, executor: &ExecutorKey) -> bool {
        self.task(task).is_some_and(|progress| {
            progress.run == run && progress.status == TaskStatus::Placed(executor.clone())
        })
    }

    /// Returns the tasks of a step in order.
    pub fn tasks_of(&self, at: StepRef) -> impl Iterator<Item = (TaskId, &TaskProgress)> {
        let start =
            self.tasks_per_occurrence * at.occurrence as usize + self.step_starts[at.step as usize];
        let count = self.step(at.step).count;
        let job = self.id;
        let tasks = self.progress.tasks.iter().skip(start);
        (0..count).zip(tasks).map(move |(index, progress)| {
            let task = TaskId {
                job,
                occurrence: at.occurrence,
                step: at.step,
                index,
            };
            (task, progress)
        })
    }

    /// Returns the tasks that belong to an executor.
    pub fn placed_tasks(&self) -> impl Iterator<Item = (TaskId, &TaskProgress, &ExecutorKey)> {
        self.steps()
            .flat_map(|at| self.tasks_of(at))
            .filter_map(|(task, progress)| match &progress.status {
                TaskStatus::Placed(executor) => Some((task, progress, executor)),
                _ => None,
            })
    }

    /// Returns all known steps.
    pub fn steps(&self) -> impl Iterator<Item = StepRef> {
        let steps = self.step_starts.len() as u32;
        (0..self.opened_occurrences())
            .flat_map(move |occurrence| (0..steps).map(move |step| StepRef { occurrence, step }))
    }

    /// Returns the steps whose predecessors are done and which have tasks that wait.
    pub fn ready_steps(&self) -> impl Iterator<Item = StepRef> {
        self.steps().filter(|at| {
            let counts = self.counts[self.count_position(*at)];
            let step = self.step(at.step);
            let has_waiting = counts.done + counts.placed < step.count;
            has_waiting
                && step
                    .after
                    .iter()
                    .all(|before| self.is_step_done(at, *before))
        })
    }

    /// Returns whether some task belongs to an executor.
    pub fn has_placed(&self) -> bool {
        self.counts.iter().any(|counts| counts.placed > 0)
    }

    /// Returns how many tasks of a step are done.
    pub fn done_count(&self, at: StepRef) -> u32 {
        self.counts[self.count_position(at)].done
    }

    /// Gives a waiting task to an executor and returns the number of the run.
    pub fn place(&mut self, task: TaskId, executor: ExecutorKey) -> Option<RunNumber> {
        self.place_as(task, executor, None)
    }

    /// Gives a waiting task to an executor with at least the given run number.
    pub fn place_as(
        &mut self,
        task: TaskId,
        executor: ExecutorKey,
        run: Option<RunNumber>,
    ) -> Option<RunNumber> {
        let position = self.position(task)?;
        let progress = self.progress.tasks.get_mut(position)?;
        if progress.status != TaskStatus::Waiting {
            return None;
        }
        progress.run = progress.run.next().max(run.unwrap_or_default());
        progress.status = TaskStatus::Placed(executor);
        let run = progress.run;
        self.has_begun = true;
        self.counts_of(task).placed += 1;
        Some(run)
    }

    /// Moves a run to another life of its executor, which was found to have taken it.
    pub fn move_run(&mut self, task: TaskId, run: RunNumber, executor: ExecutorKey) {
        let Some(position) = self.position(task) else {
            return;
        };
        let progress = &mut self.progress.tasks[position];
        if progress.run == run && matches!(progress.status, TaskStatus::Placed(_)) {
            progress.status = TaskStatus::Placed(executor);
        }
    }

    /// Takes a run back that never started or that ended without being done.
    pub fn release(&mut self, task: TaskId, checkpoint: Option<Checkpoint>, has_failed: bool) {
        let Some(position) = self.position(task) else {
            return;
        };
        let progress = &mut self.progress.tasks[position];
        if !matches!(progress.status, TaskStatus::Placed(_)) {
            return;
        }
        progress.status = TaskStatus::Waiting;
        progress.failures += u32::from(has_failed);
        if checkpoint.is_some() {
            progress.checkpoint = checkpoint;
        }
        self.counts_of(task).placed -= 1;
    }

    /// Notes that a task's work is done; in a gang it stands for all members.
    pub fn finish(&mut self, task: TaskId) {
        let at = StepRef::from(task);
        if self.step(task.step).is_gang {
            let members: Vec<TaskId> = self.tasks_of(at).map(|(member, _)| member).collect();
            for member in members {
                self.finish_one(member);
            }
        } else {
            self.finish_one(task);
        }
        if self.progress.outcome.is_none() && !self.is_cancelled && self.is_all_done() {
            self.progress.outcome = Some(JobState::Completed);
        }
    }

    /// Marks the job as failed if a task or a gang has used up its attempts.
    pub fn settle_failures(&mut self, task: TaskId, attempts_max: u32) {
        let step = self.step(task.step);
        if step.is_long_running || !self.is_open() {
            return;
        }
        let at = StepRef::from(task);
        let failures = if step.is_gang {
            self.tasks_of(at).map(|(_, member)| member.failures).sum()
        } else {
            self.task(task).map_or(0, |progress| progress.failures)
        };
        if failures >= attempts_max {
            self.progress.outcome = Some(JobState::Failed);
        }
    }

    /// Notes the client's cancellation; returns whether it changed anything.
    pub fn cancel(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.is_cancelled = true;
        self.progress.outcome = Some(JobState::Cancelled);
        true
    }

    fn finish_one(&mut self, task: TaskId) {
        let Some(position) = self.position(task) else {
            return;
        };
        let progress = &mut self.progress.tasks[position];
        let before = std::mem::replace(&mut progress.status, TaskStatus::Done);
        progress.checkpoint = None;
        let counts = self.counts_of(task);
        match before {
            TaskStatus::Done => {}
            TaskStatus::Placed(_) => {
                counts.placed -= 1;
                counts.done += 1;
            }
            TaskStatus::Waiting => counts.done += 1,
        }
    }

    fn is_all_done(&self) -> bool {
        self.opened_occurrences() == self.submission.spec.occurrence_count()
            && self
                .steps()
                .all(|at| self.counts[self.count_position(at)].done == self.step(at.step).count)
    }

    fn is_step_done(&self, at: &StepRef, step: u32) -> bool {
        let before = StepRef { step, ..*at };
        self.counts[self.count_position(before)].done == self.step(step).count
    }

    fn recount(&mut self) {
        let steps: Vec<StepRef> = self.steps().collect();
        for at in steps {
            let mut counts = StepCounts::default();
            for (_, progress) in self.tasks_of(at) {
                match progress.status {
                    TaskStatus::Waiting => {}
                    TaskStatus::Placed(_) => counts.placed += 1,
                    TaskStatus::Done => counts.done += 1,
                }
            }
            let position = self.count_position(at);
            self.counts[position] = counts;
        }
    }

    fn count_position(&self, at: StepRef) -> usize {
        at.occurrence as usize * self.step_starts.len() + at.step as usize
    }

    fn counts_of(&mut self, task: TaskId) -> &mut StepCounts {
        let position = self.count_position(task.into());
        &mut self.counts[position]
    }

    fn position(&self, task: TaskId) -> Option<usize> {
        let start = self.step_starts.get(task.step as usize)?;
        let is_known = task.job == self.id
            && task.occurrence < self.opened_occurrences()
            && task.index < self.step(task.step).count;
        is_known.then(|| {
            self.tasks_per_occurrence * task.occurrence as usize + start + task.index as usize
        })
    }
}
