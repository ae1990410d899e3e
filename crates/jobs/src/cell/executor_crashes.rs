use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::isolation::ISOLATION_MAX;
use super::recent_losses::LostExecutor;
use super::recent_losses::UnjudgedLoss;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::Job;
use crate::ledger::Loss;
use crate::ledger::TaskCrashes;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::OrderError;
use crate::policy::CrashFacts;

/// The age from which a run that was not isolated is no likely cause of the loss of its executor.
const BLAMED_AGE_MAX: Duration = Duration::from_secs(30);
/// Executors that fall silent within this time of each other are lost together, as by a loss of power.
const TOGETHER: Duration = Duration::from_millis(400);
/// Executors that fall silent within this time of each other are lost at about the same time.
const SAME_TIME: Duration = Duration::from_millis(1_500);
/// The time after a crash at which it is judged: others at the same time are known by then.
const JUDGED_AFTER: Duration = Duration::from_millis(500);
/// The time between the last start on an executor and its silence up to which that run may be the cause.
const JUST_STARTED: Duration = Duration::from_millis(300);

/// What shows that the process of an executor has ended. A cut executor shows none of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum CrashEvidence {
    /// No process listens at its address.
    NoListener,
    /// Another executor answers at its address.
    OtherExecutor,
    /// A later incarnation of it answers.
    Restarted,
}

impl CrashEvidence {
    /// Returns what a failed renewal shows, or `None` if the executor may still run.
    fn of(error: &OrderError) -> Option<Self> {
        match error {
            OrderError::NoListener(_) => Some(Self::NoListener),
            OrderError::OtherExecutor => Some(Self::OtherExecutor),
            OrderError::Refused(_)
            | OrderError::Fenced
            | OrderError::NotSent(_)
            | OrderError::Unknown(_) => None,
        }
    }
}

/// Crashes of executors, told apart from silence.
impl CellState {
    /// Handles a renewal without a report.
    pub fn handle_renewal_failure(&mut self, id: &ExecutorId, error: &OrderError, now: Instant) {
        let heard_ms = self.heard_ms(id, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if executor.silent_since.is_none() {
            executor.silent_since = Some(now);
            decided!(Decision::ExecutorSilent, executor: id, cause: error, heard_ms: heard_ms, runs: executor.runs().len());
        }
        // An executor that is only listed may not exist, so that it can't have crashed.
        if executor.is_known()
            && let Some(evidence) = CrashEvidence::of(error)
        {
            self.record_executor_crash(id, evidence, now);
        }
    }

    /// Records that the process of an executor has ended, once. Gives up its runs as soon as another
    /// executor has its address.
    pub(super) fn record_executor_crash(
        &mut self,
        id: &ExecutorId,
        evidence: CrashEvidence,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(key) = executor.key() else {
            return;
        };
        if executor.crashed_at.is_none() {
            executor.crashed_at = Some(now);
            self.log_crash(id, &key, evidence, now);
            self.record_executor_loss(id, Some(evidence), now);
        }
        if evidence == CrashEvidence::OtherExecutor {
            // The address is free for another process only once the former one has ended, with its runs.
            self.declare_runs_lost(id, "another executor answers at its address", now);
            if let Some(executor) = self.executors.get_mut(id) {
                executor.clock = None;
            }
        }
    }

    fn log_crash(&self, id: &ExecutorId, key: &ExecutorKey, evidence: CrashEvidence, now: Instant) {
        let heard_ms = self.heard_ms(id, now);
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let started = executor.runs().iter().filter(|(_, view)| may_run(view));
        let newest = started.min_by_key(|(_, view)| view.age(now));
        let newest_task = newest.map(|(task, _)| task.to_string()).unwrap_or_default();
        let newest_age_ms = newest.map_or(0, |(_, view)| view.age(now).as_millis());
        decided!(Decision::ExecutorCrashed, executor: key, evidence: evidence, phase: executor.entry.phase, heard_ms: heard_ms, runs: executor.runs().len(), newest_task: newest_task, newest_age_ms: newest_age_ms);
        self.metrics.count_executor_crash(evidence.into());
    }

    /// Counts the loss of an executor for the tasks that it ran, once. It counts as a crash if its
    /// process is known to have ended, unless operators evacuate its failure domain. The loss of an
    /// executor that has announced its shutdown does not count.
    pub(super) fn record_executor_loss(
        &mut self,
        id: &ExecutorId,
        evidence: Option<CrashEvidence>,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let Some(key) = executor.key().filter(|_| !executor.is_draining()) else {
            return;
        };
        let silent_since = executor.silent_since.unwrap_or(now);
        let is_evacuated = !self.may_start_on(executor, now);
        let has_crashed = executor.crashed_at.is_some() && !is_evacuated;
        // Only a refused connection tells the time of the crash.
        let is_time_known = has_crashed && evidence == Some(CrashEvidence::NoListener);
        let loss_of = |task: TaskId, view: &RunView| {
            let age = view.age(silent_since);
            Loss {
                has_crashed,
                is_suspected: is_suspected(executor, task, view),
                is_at_start: is_time_known && !view.is_inherited && age <= JUST_STARTED,
                age_ms: age.as_millis() as u64,
            }
        };
        // A run without an answer to its start may have come after the crash.
        let is_shown = |view: &RunView| view.is_isolated && view.is_running() && has_crashed;
        let blamed = executor.runs().iter().filter(|(_, view)| {
            may_run(view) && (view.is_isolated || view.age(silent_since) <= BLAMED_AGE_MAX)
        });
        let blamed: Vec<(TaskId, bool, Loss)> = blamed
            .map(|(task, view)| (*task, is_shown(view), loss_of(*task, view)))
            .collect();
        let lost = LostExecutor {
            key: key.clone(),
            silent_since,
            had_just_started: had_just_started(executor, silent_since),
            tasks: blamed.iter().map(|(task, ..)| *task).collect(),
        };
        self.recent_losses.add(lost, now);
        for (task, is_shown, loss) in blamed {
            self.record_loss_under(task, &key, loss);
            if is_shown {
                let loss = UnjudgedLoss {
                    executor: key.clone(),
                    due: now + JUDGED_AFTER,
                    was_isolated: true,
                };
                self.recent_losses.judge_later(task, loss);
            }
        }
    }

    /// Counts the loss of an executor for a run of a former owner.
    pub(super) fn record_lost_placement(
        &mut self,
        key: &ExecutorKey,
        task: TaskId,
        has_crashed: bool,
        now: Instant,
    ) {
        let lost = LostExecutor {
            key: key.clone(),
            silent_since: now,
            had_just_started: true,
            tasks: vec![task],
        };
        self.recent_losses.add(lost, now);
        let loss = Loss {
            has_crashed,
            is_suspected: true,
            ..Loss::default()
        };
        self.record_loss_under(task, key, loss);
    }

    fn record_loss_under(&mut self, task: TaskId, key: &ExecutorKey, loss: Loss) {
        if let Some(job) = self.ledger.job_mut(task.job).filter(|job| job.is_open()) {
            job.crash_history_mut().record(task, key, loss);
            self.dirty.insert(task.job);
            self.judge_many_losses(task);
        }
    }

    /// Takes back the loss of an executor that has answered a later request.
    pub(super) fn retract_loss(&mut self, id: &ExecutorId, requested_at: Instant) {
        let Some(key) = self.executors.get(id).and_then(Executor::key) else {
            return;
        };
        for task in self.recent_losses.retract(&key, requested_at) {
            if let Some(job) = self.ledger.job_mut(task.job) {
                job.crash_history_mut().retract(task, &key);
                self.dirty.insert(task.job);
            }
        }
    }

    /// Ends the isolation of a run that has lasted long enough, and forgets the executors lost under its
    /// task once it has outlived them.
    pub(super) fn clear_outlived_crashes(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        lasted: Duration,
    ) {
        if lasted >= ISOLATION_MAX
            && let Some(executor) = self.executors.get_mut(id)
        {
            executor.end_isolation(task);
        }
        let is_outlived = |crashes: &TaskCrashes| lasted >= crashes.clearance();
        let Some(crashes) = self.crashes_of(task).filter(|found| is_outlived(found)) else {
            return;
        };
        decided!(Decision::CrashesOutlived, task: task, executor: id, lost: crashes.lost, suspected: crashes.suspected, lasted_ms: lasted.as_millis());
        if let Some(job) = self.ledger.job_mut(task.job) {
            job.crash_history_mut().clear_task(task);
            self.dirty.insert(task.job);
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.end_isolation(task);
        }
    }

    /// Restores one of the records of the executors that were lost with runs of a job.
    pub(super) fn restore_crashes(
        &mut self,
        id: JobId,
        part: usize,
        tasks: Vec<(TaskId, TaskCrashes)>,
        now: Instant,
    ) {
        let restored: Vec<TaskId> = tasks.iter().map(|(task, _)| *task).collect();
        if let Some(job) = self.ledger.job_mut(id) {
            job.crash_history_mut().restore(part, tasks);
        }
        for task in restored {
            self.judge_many_losses(task);
        }
        self.judge_losses(now);
    }

    /// Lets a task be judged at once if so many executors were lost under it that nothing else counts.
    fn judge_many_losses(&mut self, task: TaskId) {
        let crashes = self.crashes_of(task);
        let Some(crashes) = crashes.filter(|crashes| crashes.facts().is_over_limit()) else {
            return;
        };
        if let Some(executor) = crashes.last_executor().cloned() {
            let loss = UnjudgedLoss {
                executor,
                due: self.started_at,
                was_isolated: false,
            };
            self.recent_losses.judge_later(task, loss);
        }
    }

    /// Gives up the tasks that are the cause of crashes, with their jobs.
    pub fn judge_losses(&mut self, now: Instant) {
        self.end_isolation_waits();
        for (task, loss) in self.recent_losses.take_due(now) {
            let Some(facts) = self.crash_facts(task, &loss) else {
                continue;
            };
            let executor = loss.executor;
            if !facts.is_cause() {
                decided!(Decision::CrashExcused, task: task, executor: executor, lost: facts.lost, suspected: facts.suspected, at_start: facts.at_start, lost_together: facts.lost_together, others_lost: facts.others_lost);
                continue;
            }
            let job = self.ledger.job_mut(task.job);
            if job.is_some_and(Job::give_up) {
                decided!(Decision::TaskGivenUp, task: task, executor: executor, lost: facts.lost, suspected: facts.suspected, at_start: facts.at_start, was_isolated: facts.was_isolated, lost_together: facts.lost_together, others_lost: facts.others_lost);
                self.metrics.tasks_given_up.inc();
                self.dirty.insert(task.job);
                self.stop_job(task.job, now);
            }
        }
    }

    fn crash_facts(&self, task: TaskId, loss: &UnjudgedLoss) -> Option<CrashFacts> {
        let crashes = self.crashes_of(task)?;
        let (lost_together, others_lost) = self.others_lost_with(&loss.executor);
        Some(CrashFacts {
            was_isolated: loss.was_isolated,
            lost_together,
            others_lost,
            ..crashes.facts()
        })
    }

    /// Returns the number of other executors that fell silent together with a lost one, and of those that
    /// did so at about the same time and to which no start had just been sent.
    fn others_lost_with(&self, key: &ExecutorKey) -> (usize, usize) {
        let Some(lost) = self.recent_losses.get(key) else {
            return (0, 0);
        };
        let silent = self.executors.values().filter_map(|executor| {
            let since = executor.silent_since.filter(|_| executor.is_known())?;
            Some((&executor.entry.id, since, had_just_started(executor, since)))
        });
        let removed = self
            .recent_losses
            .iter()
            .map(|other| (&other.key.id, other.silent_since, other.had_just_started));
        let mut together = BTreeSet::new();
        let mut unexplained = BTreeSet::new();
        for (id, since, had_just_started) in silent.chain(removed) {
            let apart = since.max(lost.silent_since) - since.min(lost.silent_since);
            if *id == key.id {
                continue;
            }
            if apart <= TOGETHER {
                together.insert(id);
            }
            if apart <= SAME_TIME && !had_just_started {
                unexplained.insert(id);
            }
        }
        (together.len(), unexplained.len())
    }
}

/// Returns whether a start was sent to an executor just before it fell silent, or later.
fn had_just_started(executor: &Executor, silent_since: Instant) -> bool {
    let sent_at = executor.start_sent_at;
    sent_at.is_some_and(|sent_at| sent_at + JUST_STARTED >= silent_since)
}

/// Returns whether the executor may have started a run.
fn may_run(view: &RunView) -> bool {
    !matches!(view.phase, RunPhase::Proposed | RunPhase::Withdrawn)
}

/// Returns whether a run may have crashed its executor, and no run of another job is a likelier cause.
///
/// A likelier cause is one that had hardly begun when the executor is last known to have worked.
fn is_suspected(executor: &Executor, task: TaskId, view: &RunView) -> bool {
    let worked_at = executor.worked_at;
    let is_outlived =
        |view: &RunView| worked_at.is_some_and(|at| view.had_settled(JUST_STARTED, at));
    let started = executor.runs().iter().filter(|(_, view)| may_run(view));
    let mut others = started.filter(|(other, _)| other.job != task.job);
    !is_outlived(view) || others.all(|(_, other)| is_outlived(other))
}
