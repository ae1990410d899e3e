use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::planning::StepSearch;
use crate::evacuation::RunFacts;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::StepRef;
use crate::ledger::TaskStatus;
use crate::model::ExecutorId;
use crate::model::ExecutorKey;
use crate::model::JobId;
use crate::model::Label;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;

/// Limits the searches for a place in one round, since each one scores all executors.
const SEARCHES_PER_ROUND_MAX: usize = 8;
/// How long a place elsewhere is held for a run that is being stopped. Stops of silent executors take
/// longer, and the place is then of more use to others.
const PLACE_HELD_MAX: Duration = Duration::from_secs(3);

/// A run that leaves its failure domain, and the place that is held for its task.
///
/// The place is a run with the number 0 in the phase [`RunPhase::Proposed`].
#[derive(Clone, Debug)]
pub(super) struct Departure {
    target: ExecutorId,
    held_until: Instant,
}

/// Runs that leave evacuated failure domains.
impl CellState {
    /// Stops runs in evacuated failure domains that can continue elsewhere now, and holds a place for
    /// each.
    pub(super) fn evacuate_runs(&mut self, now: Instant) {
        self.release_unused_places(now);
        if self.operator_view.evacuations.is_empty() || self.operator_view.is_stale(now) {
            return;
        }
        let runs = self.runs_to_consider(now);
        let mut searches = 0;
        let mut without_place: BTreeSet<(JobId, StepRef)> = BTreeSet::new();
        for (executor, task) in runs {
            if searches >= SEARCHES_PER_ROUND_MAX {
                return;
            }
            let step = (task.job, StepRef::from(task));
            if without_place.contains(&step) || self.departures.contains_key(&task) {
                continue;
            }
            let Some((tasks, facts)) = self.facts_of(task, &executor, now) else {
                continue;
            };
            if facts.stay_cause().is_some() {
                continue;
            }
            searches += 1;
            self.last_considered = Some((executor.clone(), task));
            let Some(targets) = self.hold_places(&tasks, now) else {
                without_place.insert(step);
                continue;
            };
            decided!(Decision::RunLeaving, task: task, executor: executor, target: targets[0], tasks: tasks.len(), heard_ms: self.heard_ms(&executor, now), remaining_ms: facts.remaining.as_millis(), unavailable: facts.unavailable, unavailable_max: facts.unavailable_max);
            for (task, target) in tasks.iter().zip(targets) {
                let held_until = now + PLACE_HELD_MAX;
                self.departures
                    .insert(*task, Departure { target, held_until });
            }
            self.evacuation_stops += tasks.len() as u64;
            self.stop_task_and_gang(task, now);
        }
    }

    /// Places the tasks whose runs have left on the executors that are held for them. Gangs are
    /// placed once all members wait.
    pub(super) fn place_departed_tasks(&mut self, now: Instant) {
        let steps: BTreeSet<(JobId, StepRef)> = self
            .departures
            .keys()
            .map(|task| (task.job, StepRef::from(*task)))
            .collect();
        for (id, step_ref) in steps {
            let Some(job) = self.ledger.job(id).filter(|job| job.is_open()) else {
                continue;
            };
            let submission = Arc::clone(job.submission());
            let step = &submission.spec.steps[step_ref.step as usize];
            let waiting: Vec<TaskId> = job
                .step_tasks(step_ref)
                .filter(|(_, progress)| progress.status == TaskStatus::Waiting)
                .map(|(task, _)| task)
                .collect();
            if step.is_gang && waiting.len() < step.count as usize {
                continue;
            }
            let is_held = |task: &TaskId| self.is_place_usable(*task, now);
            let is_usable = !step.is_gang || waiting.iter().all(is_held);
            for task in waiting {
                let is_usable = is_usable && self.is_place_usable(task, now);
                // A task without its place waits in the usual order.
                if let Some(target) = self.release_place(task)
                    && is_usable
                {
                    self.place_task(step, task, &target, now);
                }
            }
        }
    }

    /// Returns whether a place is held for a task on an executor that can still start the task.
    fn is_place_usable(&self, task: TaskId, now: Instant) -> bool {
        let departure = self.departures.get(&task);
        let executor = departure.and_then(|departure| self.executors.get(&departure.target));
        executor.is_some_and(|executor| {
            self.may_place_on(executor, now)
                && executor.run(task).is_some()
                && !executor.is_closed_to(task.job)
                && !self.needs_isolation(task)
                && executor.used().fits_in(&executor.entry.capacity)
        })
    }

    /// Returns the started runs in evacuated failure domains, on executors that answer, beginning
    /// after the last one that was considered.
    fn runs_to_consider(&self, now: Instant) -> Vec<(ExecutorId, TaskId)> {
        let silence_max = self.settings.silence_max();
        let evacuations = &self.operator_view.evacuations;
        let evacuated = self.executors.values().filter(|executor| {
            evacuations.contains(&executor.entry.failure_domain)
                && executor
                    .clock
                    .is_some_and(|clock| now.duration_since(clock.seen_at()) <= silence_max)
        });
        let mut runs: Vec<(ExecutorId, TaskId)> = evacuated
            .flat_map(|executor| {
                let runs = executor.runs().iter();
                runs.filter(|(_, view)| matches!(view.phase, RunPhase::Running { .. }))
                    .map(|(task, _)| (executor.entry.id.clone(), *task))
            })
            .collect();
        let next = runs.partition_point(|run| Some(run) <= self.last_considered.as_ref());
        runs.rotate_left(next);
        runs
    }

    /// Returns the tasks that leave together with a task, and the facts that decide whether they do.
    /// Returns `None` if they can't leave now, because a member of the gang isn't running.
    pub(super) fn facts_of(
        &self,
        task: TaskId,
        executor: &ExecutorId,
        now: Instant,
    ) -> Option<(Vec<TaskId>, RunFacts)> {
        let job = self.ledger.job(task.job)?;
        let step = job.step(task.step);
        let mut tasks = vec![task];
        let mut views = vec![self.executors.get(executor)?.run(task)?];
        let mut unavailable = 0;
        if step.is_gang || step.is_long_running {
            let mut members = Vec::new();
            for (member, progress) in job.step_tasks(task.into()) {
                let view = match &progress.status {
                    TaskStatus::Placed(key) => self.available_run(key, member),
                    _ => None,
                };
                unavailable += u32::from(view.is_none_or(|view| {
                    step.is_long_running
                        && view.recent_measurement.is_none()
                        && view.progress_percent <= 0.0
                }));
                members.extend(view.map(|view| (member, view)));
            }
            if step.is_gang {
                if members.len() < step.count as usize {
                    return None;
                }
                (tasks, views) = members.into_iter().unzip();
            }
        }
        let remaining = views
            .iter()
            .map(|view| remaining_time(view, step.estimate_ms, now));
        let facts = RunFacts {
            is_long_running: step.is_long_running,
            has_checkpoint: views.iter().all(|view| view.checkpoint.is_some()),
            remaining: remaining.min().unwrap_or_default(),
            unavailable_max: step.unavailable_max.unwrap_or(0),
            unavailable,
            leaving: tasks.len() as u32,
        };
        Some((tasks, facts))
    }

    fn available_run(&self, key: &ExecutorKey, task: TaskId) -> Option<&RunView> {
        let view = self.executors.get(&key.id)?.run(task)?;
        matches!(view.phase, RunPhase::Running { .. }).then_some(view)
    }

    /// Holds a place for each task of a step outside the evacuated failure domains, or for none.
    fn hold_places(&mut self, tasks: &[TaskId], now: Instant) -> Option<Vec<ExecutorId>> {
        let first = tasks.first()?;
        let job = self.ledger.job(first.job)?;
        let submission = Arc::clone(job.submission());
        let queue = Self::queue_config(&self.config, job);
        let step = &submission.spec.steps[first.step as usize];
        let pressures = self.interference_pressures(step, now);
        let racks: Vec<Label> = match step.is_gang && step.same_rack {
            true => self.service_racks(&queue.service),
            false => Vec::new(),
        };
        for rack in racks.iter().map(Some).chain([None]) {
            let search = StepSearch {
                job: first.job,
                step_ref: StepRef::from(*first),
                step,
                service: &queue.service,
                pressures: &pressures,
                dissimilarities: &[],
                rack,
                needs_ticket: queue.advice.is_some(),
                // Long-running tasks keep their place for good, so as much is left for others.
                ignores_ramp_up: false,
                requires_spare_room: step.is_long_running,
                may_interfere: false,
                may_be_interrupted: false,
                isolates: false,
            };
            let targets = self.hold_places_on(&search, tasks, now);
            if targets.is_some() {
                return targets;
            }
        }
        None
    }

    fn hold_places_on(
        &mut self,
        search: &StepSearch<'_>,
        tasks: &[TaskId],
        now: Instant,
    ) -> Option<Vec<ExecutorId>> {
        let mut targets = Vec::new();
        for task in tasks {
            let mut candidates = self.score_executors(search, now);
            let target = std::iter::from_fn(|| candidates.pop()).find(|candidate| {
                let executor = self.executors.get(&candidate.executor);
                executor.is_some_and(|executor| executor.run(*task).is_none())
            });
            let Some(target) = target else {
                break;
            };
            if let Some(executor) = self.executors.get_mut(&target.executor) {
                let run = RunNumber::default();
                executor.add_run(
                    *task,
                    RunView::new(run, search.step, RunPhase::Proposed, now),
                );
            }
            targets.push(target.executor);
        }
        if targets.len() == tasks.len() {
            return Some(targets);
        }
        for (task, target) in tasks.iter().zip(&targets) {
            self.remove_held_run(*task, target);
        }
        None
    }

    /// Releases the places whose tasks are over, or whose runs haven't ended in time.
    fn release_unused_places(&mut self, now: Instant) {
        let ledger = &self.ledger;
        let unused = self.departures.iter().filter(|(task, departure)| {
            let is_placed = ledger
                .job(task.job)
                .filter(|job| job.is_open())
                .and_then(|job| job.task(**task))
                .is_some_and(|progress| progress.status != TaskStatus::Done);
            !is_placed || now >= departure.held_until
        });
        let unused: Vec<TaskId> = unused.map(|(task, _)| *task).collect();
        for task in unused {
            self.release_place(task);
        }
    }

    /// Releases the place that is held for a task, and returns its executor.
    fn release_place(&mut self, task: TaskId) -> Option<ExecutorId> {
        let target = self.departures.remove(&task)?.target;
        self.remove_held_run(task, &target);
        Some(target)
    }

    fn remove_held_run(&mut self, task: TaskId, target: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(target) {
            executor.remove_run(task, RunNumber::default());
        }
    }

    /// Releases the places on executors where nothing may start any more.
    pub(super) fn release_closed_places(&mut self, now: Instant) {
        let closed = self.departures.iter().filter(|(_, departure)| {
            let executor = self.executors.get(&departure.target);
            executor.is_none_or(|executor| !self.may_start_on(executor, now))
        });
        let closed: Vec<TaskId> = closed.map(|(task, _)| *task).collect();
        for task in closed {
            self.release_place(task);
        }
    }
}

/// Returns the time until a run ends, by the client's estimate or by the speed of the run so far if
/// that is shorter.
fn remaining_time(view: &RunView, estimate_ms: u64, now: Instant) -> Duration {
    /// The progress and the time from which the speed of a run so far is used. A run that resumed from
    /// a checkpoint seems faster than it is, and rather stays.
    const MEASURABLE_PERCENT: f64 = 10.0;
    const MEASURABLE_TIME: Duration = Duration::from_secs(1);
    let done = (view.progress_percent / 100.0).clamp(0.0, 1.0);
    let estimated = Duration::from_millis(estimate_ms).mul_f64(1.0 - done);
    match view.phase {
        RunPhase::Running { since }
            if view.progress_percent >= MEASURABLE_PERCENT
                && now.duration_since(since) >= MEASURABLE_TIME =>
        {
            let elapsed = now.duration_since(since);
            estimated.min(elapsed.mul_f64((1.0 - done) / done))
        }
        _ => estimated,
    }
}
