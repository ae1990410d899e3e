use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::Effect;
use crate::fleet::ExecutorClock;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::TaskStatus;
use crate::model::Checkpoint;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::RunNumber;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::EndedRun;
use crate::platform::ExecutorReport;
use crate::platform::Renewal;
use crate::platform::RunEnd;
use crate::platform::RunningRun;

/// How long a stop may remain without effect before it is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Limits the hold of a renewal while fillers run beside serving tasks, so that each report covers
/// new measurements. Executors measure tails over half a second.
const INTERFERENCE_HOLD_MAX: Duration = Duration::from_millis(500);
/// The number of consecutive reports without an expected run after which the run is stopped.
const MISSED_REPORTS_MAX: u32 = 2;
/// The minimum increase in a run's progress that counts, in percentage points.
const PROGRESS_GAIN_MIN_PERCENT: f64 = 0.5;

/// Lease renewals, the reports that answer them, and lease expiry.
impl CellState {
    /// Returns the next renewal for an executor, or `None` if its session may end.
    ///
    /// Without `may_renew`, the renewal only requests a report and extends no lease.
    pub fn renewal(&self, id: &ExecutorId, may_renew: bool) -> Option<Renewal> {
        let executor = self.executors.get(id)?;
        let lease_end_ms = executor
            .clock
            .filter(|_| may_renew && executor.given_up_at.is_none())
            .map(|clock| clock.lease_end_ms(self.settings.lease));
        let hold = if executor.clock.is_none()
            || executor.given_up_at.is_some()
            || executor.applied_end != executor.acked_end
        {
            Duration::ZERO
        } else if executor.serving_cpu_milli() > 0 && executor.filler_cpu_milli() > 0 {
            self.settings.renewal_hold.min(INTERFERENCE_HOLD_MAX)
        } else {
            self.settings.renewal_hold
        };
        Some(Renewal {
            token: self.epoch,
            acked_end: executor.acked_end,
            lease_end_ms,
            hold,
        })
    }

    /// Returns whether an executor has reported ended runs that are not stored yet.
    pub fn has_unstored_ends(&self, id: &ExecutorId) -> bool {
        self.executors
            .get(id)
            .is_some_and(|executor| executor.applied_end > executor.acked_end)
    }

    /// Handles an executor's report, which was requested at `requested_at`.
    pub fn handle_report(
        &mut self,
        id: &ExecutorId,
        mut report: ExecutorReport,
        requested_at: Instant,
        now: Instant,
    ) {
        // An end below an applied one would count as applied, and be acknowledged.
        report.ended.sort_by_key(|ended| ended.number);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        // An entry may name any incarnation. Before the first answer, nothing else tells of it.
        match executor.incarnation {
            Some(known) if report.incarnation == known => {}
            Some(known) if report.incarnation > known => {
                self.begin_incarnation(id, &report, requested_at, now);
            }
            Some(_) if executor.is_known() => return,
            _ => executor.identify(report.incarnation),
        }
        self.restore_unlisted_runs(id, Some(&report), now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let clock = ExecutorClock::new(report.clock_ms, now);
        let is_first = executor.clock.is_none();
        executor.clock = Some(clock.later(executor.clock));
        executor.worked_at = executor.worked_at.max(Some(requested_at));
        executor.crashed_at = None;
        if executor.silent_since.take().is_some() || is_first {
            self.retract_loss(id, requested_at);
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.given_up_at = executor
            .given_up_at
            .filter(|given_up_at| requested_at < *given_up_at || !report.running.is_empty());
        for ended in &report.ended {
            self.handle_run_end(id, ended, now);
        }
        for running in &report.running {
            self.handle_running_run(id, running, now);
        }
        if !report.may_have_more_ends {
            self.reconcile_missing_runs(id, &report, requested_at, now);
        }
        self.control_tail_latency(id, now);
    }

    /// Requeues the tasks on executors whose leases have expired, and removes executors that are no
    /// longer needed.
    pub fn expire_leases(&mut self, now: Instant) {
        let lease = self.settings.lease;
        let former_leases_are_over = self.former_leases_end <= now;
        // With fences, an executor that has answered this owner refuses renewals of former owners.
        let only_this_owner_renews =
            former_leases_are_over || self.settings.executors_enforce_fences;
        let lapsed: Vec<ExecutorId> = self
            .executors
            .values()
            .filter(|executor| match executor.clock {
                Some(_) => only_this_owner_renews && executor.is_lapsed(lease, now),
                None => former_leases_are_over && !executor.runs().is_empty(),
            })
            .map(|executor| executor.entry.id.clone())
            .collect();
        for id in lapsed {
            let Some(executor) = self.executors.get(&id) else {
                continue;
            };
            let clock = executor.clock;
            let silent_ms = clock.map(|clock| now.duration_since(clock.seen_at()).as_millis());
            let lease_end_ms = clock.map(|clock| clock.lease_end_ms(lease));
            decided!(Decision::ExecutorLapsed, executor: id, silent_ms: silent_ms.unwrap_or_default(), lease_end_ms: lease_end_ms.unwrap_or_default(), runs: executor.runs().len());
            let cause = match clock {
                Some(_) => "silent for a lease",
                None => "silent since the takeover",
            };
            let has_runs = !executor.runs().is_empty();
            self.declare_runs_lost(&id, cause, now);
            if let Some(executor) = self.executors.get_mut(&id) {
                executor.clock = None;
                executor.given_up_at = has_runs.then_some(now).or(executor.given_up_at);
            }
        }
        if former_leases_are_over {
            let unlisted_placements = std::mem::take(&mut self.unlisted_placements);
            for (key, tasks) in unlisted_placements {
                for task in tasks {
                    self.record_lost_placement(&key, task, false, now);
                    self.declare_placement_lost(&key, task, now);
                }
            }
        }
        let removable: Vec<ExecutorId> = self
            .executors
            .values()
            .filter(|executor| {
                executor.listing.is_gone(now)
                    && executor.clock.is_none()
                    && executor.runs().is_empty()
            })
            .map(|executor| executor.entry.id.clone())
            .collect();
        for id in removable {
            self.executors.remove(&id);
        }
    }

    fn handle_run_end(&mut self, id: &ExecutorId, ended: &EndedRun, now: Instant) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(key) = executor.key() else {
            return;
        };
        if ended.number <= executor.applied_end {
            return;
        }
        executor.applied_end = ended.number;
        self.ledger.mark_started(ended.task.job);
        let view = executor.remove_run(ended.task, ended.run);
        self.effects.push(Effect::AckEnds {
            executor: key.clone(),
            end: ended.number,
        });
        if let (RunEnd::Done, Some(view)) = (ended.end, view) {
            self.learn_run_time(id, ended.task, &view, now);
            self.record_estimate_error(id, ended.task, &view, now);
        }
        self.apply_run_end(&key, ended, now);
    }

    fn apply_run_end(&mut self, key: &ExecutorKey, ended: &EndedRun, now: Instant) {
        let task = ended.task;
        let Some(job) = self.ledger.job_mut(task.job) else {
            return;
        };
        if !job.is_placed(task, ended.run, key) {
            self.apply_late_run_end(key, ended, now);
            return;
        }
        decided!(Decision::RunEnded, task: task, run: ended.run, executor: key, end: ended.end, number: ended.number);
        self.dirty.insert(task.job);
        let is_long_running = job.step(task.step).is_long_running;
        let checkpoint = ended.checkpoint.clone();
        let executor = self.executors.get_mut(&key.id);
        match ended.end {
            RunEnd::Done if !is_long_running => {
                job.complete_task(task);
                if let Some(executor) = executor {
                    executor.health.record_success();
                }
            }
            RunEnd::Failed => {
                // After an earlier failure, the task is a more likely cause than this executor.
                let is_first_failure = job.task(task).is_some_and(|found| found.failures == 0);
                job.requeue(task, checkpoint, true);
                if let Some(executor) = executor
                    && is_first_failure
                {
                    executor.health.record_failure(task.job, now);
                }
                self.fail_if_exhausted(task, now);
            }
            _ => job.requeue(task, checkpoint, false),
        }
    }

    /// Handles the end of a run that is not placed on this executor, such as one that was given up as
    /// lost or that a former owner started.
    ///
    /// The end counts, because the executor may discard it once it is acknowledged.
    fn apply_late_run_end(&mut self, key: &ExecutorKey, ended: &EndedRun, now: Instant) {
        let task = ended.task;
        let Some(job) = self.ledger.job_mut(task.job) else {
            return;
        };
        let Some(progress) = job.task(task) else {
            return;
        };
        decided!(Decision::RunEndedLate, task: task, run: ended.run, executor: key, end: ended.end, number: ended.number, newest_run: progress.run);
        if !job.is_open() || progress.status == TaskStatus::Done {
            return;
        }
        match ended.end {
            RunEnd::Done if !job.step(task.step).is_long_running => {
                self.stop_task_and_gang(task, now);
                self.dirty.insert(task.job);
                if let Some(job) = self.ledger.job_mut(task.job) {
                    job.complete_task(task);
                }
            }
            RunEnd::Failed if job.record_lost_failure(task, ended.run) => {
                self.dirty.insert(task.job);
                self.fail_if_exhausted(task, now);
            }
            _ => {}
        }
    }

    /// Fails the job if its task has exhausted its attempts, and stops the runs of a job that is over.
    fn fail_if_exhausted(&mut self, task: TaskId, now: Instant) {
        let Some(job) = self.ledger.job_mut(task.job) else {
            return;
        };
        let queue = Self::queue_config(&self.config, job);
        job.fail_if_exhausted(task, queue.attempts_max);
        if !job.is_open() {
            self.stop_job(task.job, now);
        }
    }

    fn handle_running_run(&mut self, id: &ExecutorId, running: &RunningRun, now: Instant) {
        self.ledger.mark_started(running.task.job);
        self.observe_speed(id, running.task, running.progress_percent, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(view) = executor.run_mut(running.task, running.run) else {
            self.stop_stray_run(id, running.task, running.run, now);
            return;
        };
        view.missed_reports = 0;
        let lasted = match view.phase {
            RunPhase::Running { since } => now.duration_since(since),
            _ => Duration::ZERO,
        };
        view.first_progress
            .get_or_insert((running.progress_percent, now));
        view.recent_measurement = running.recent_measurement;
        if running.checkpoint.is_some() {
            view.checkpoint.clone_from(&running.checkpoint);
        }
        if running.progress_percent >= view.progress_percent + PROGRESS_GAIN_MIN_PERCENT {
            view.progress_percent = running.progress_percent;
            view.progressed_at = now;
        }
        match view.phase {
            RunPhase::Ordered | RunPhase::Restored => {
                if view.phase == RunPhase::Restored && view.is_filler() {
                    view.set_pace(view.observed_pace_percent(), now);
                }
                view.phase = RunPhase::Running { since: now };
                let is_open = self.ledger.is_open(running.task.job);
                if !is_open && let Some(key) = executor.key() {
                    self.stop_run(&key, running.task, now);
                }
            }
            RunPhase::Stopping { sent_at, .. }
                if now.duration_since(sent_at) > STOP_RETRY_INTERVAL =>
            {
                executor.stop(running.task, running.run, now);
            }
            _ => {}
        }
        self.clear_outlived_crashes(id, running.task, lasted);
    }

    /// Stops a run that is not the newest one of its task.
    ///
    /// The run reserves its resources until it has ended.
    fn stop_stray_run(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber, now: Instant) {
        let job = self.ledger.job(task.job);
        let step = job.filter(|job| job.task(task).is_some());
        let step = step.map_or_else(StepSpec::default, |job| job.step(task.step).clone());
        let phase = RunPhase::Stopping {
            sent_at: now,
            answered_at: None,
        };
        self.record_foreign_run(id, task, run, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.send(Order::Stop(task, run));
        // A newer run of the same task on this executor keeps its own view.
        if executor.run(task).is_none() {
            decided!(Decision::StrayRun, task: task, run: run, executor: id);
            executor.add_run(task, RunView::new(run, &step, phase, now));
        }
    }

    /// Handles runs that are assigned to the executor but missing from the running ones in its
    /// report.
    fn reconcile_missing_runs(
        &mut self,
        id: &ExecutorId,
        report: &ExecutorReport,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let missing: Vec<(TaskId, RunNumber)> = executor
            .runs()
            .iter()
            .filter(|(task, view)| !report.is_running(**task, view.run))
            .map(|(task, view)| (*task, view.run))
            .collect();
        let stop_max = self.settings.stop_max;
        let enforces_fences = self.settings.executors_enforce_fences;
        let mut lost = Vec::new();
        for (task, run) in missing {
            let Some(view) = executor.run_mut(task, run) else {
                continue;
            };
            match view.phase {
                RunPhase::Proposed | RunPhase::Withdrawn | RunPhase::Ordered => {}
                // The former owner's start never arrived. The executor rejects it from now on,
                // since it has seen this owner's epoch.
                RunPhase::Restored if enforces_fences => {
                    lost.push((task, run, None, "its start never arrived"));
                }
                // Without fences, only a stop makes the executor reject a start that arrives later.
                RunPhase::Restored => executor.stop(task, run, now),
                RunPhase::Running { since } => {
                    if requested_at <= since {
                        continue;
                    }
                    view.missed_reports += 1;
                    if view.missed_reports >= MISSED_REPORTS_MAX {
                        executor.stop(task, run, now);
                    }
                }
                RunPhase::Stopping {
                    answered_at: Some(answered_at),
                    ..
                } => {
                    if requested_at > answered_at + stop_max {
                        let checkpoint = view.checkpoint.clone();
                        lost.push((task, run, checkpoint, "not listed after a stop"));
                    }
                }
                RunPhase::Stopping {
                    sent_at,
                    answered_at: None,
                } => {
                    if now.duration_since(sent_at) > STOP_RETRY_INTERVAL {
                        executor.stop(task, run, now);
                    }
                }
            }
        }
        for (task, run, checkpoint, cause) in lost {
            self.remove_missing_run(id, task, run, checkpoint, cause, now);
        }
    }

    /// Removes a run that the executor neither runs nor can still start, and requeues its task.
    fn remove_missing_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        checkpoint: Option<Checkpoint>,
        cause: &str,
        now: Instant,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.remove_run(task, run);
        let Some(key) = executor.key() else {
            return;
        };
        if self.requeue_run(&key, task, run, checkpoint, now) {
            decided!(Decision::RunLost, task: task, run: run, executor: key, cause: cause);
        }
    }
}
