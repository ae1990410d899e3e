use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::Effect;
use super::preferred_placement::RackChoice;
use super::run_times::speed_penalty;
use super::scored_executor::ScoredExecutor;
use super::tickets::TICKET_VALIDITY_MIN;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::StepRef;
use crate::ledger::TaskStatus;
use crate::model::ExecutorId;
use crate::model::ImageName;
use crate::model::JobId;
use crate::model::Label;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::policy::PlacementRequest;
use crate::policy::Rank;
use crate::policy::RankContext;

/// Limits the runs placed in one round, so that a round does not delay answers. At 20 rounds per
/// second, the limit is above the start rate of the largest deployment.
const PLACEMENTS_PER_ROUND_MAX: usize = 256;

/// The waiting time after which long-running tasks are placed before other tasks, on executors with
/// ample room. The requirements allow 6 s.
const LONG_RUNNING_WAIT_MAX: Duration = Duration::from_millis(3_000);

/// A step with waiting tasks, and its rank among such steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingStep {
    pub(super) rank: Rank,
    pub(super) job: JobId,
    pub(super) step_ref: StepRef,
}

/// The constraints on executors for the tasks of a step.
#[derive(Clone, Copy)]
pub(super) struct StepSearch<'a> {
    pub(super) job: JobId,
    pub(super) step_ref: StepRef,
    pub(super) step: &'a StepSpec,
    pub(super) service: &'a ServiceId,
    pub(super) pressures: &'a [(ImageName, f64)],
    /// How much other serving images differ from that of the step.
    pub(super) dissimilarities: &'a [(ImageName, f64)],
    /// The only rack to search, if any.
    pub(super) rack: Option<&'a Label>,
    /// Whether a start needs a valid ticket.
    pub(super) needs_ticket: bool,
    /// Whether the executor must have room for twice the task, so that as much is left for others.
    pub(super) requires_spare_room: bool,
    /// Whether the tasks have waited so long that they are placed on any executor with room.
    pub(super) ignores_ramp_up: bool,
    /// Whether the tasks may run where they interfere with serving tasks.
    pub(super) may_interfere: bool,
    /// Whether the tasks may run where they must stop when the load of serving tasks rises.
    pub(super) may_be_interrupted: bool,
    /// Whether the tasks start only where a crash can be told to be theirs.
    pub(super) isolates: bool,
}

impl<'a> StepSearch<'a> {
    /// Returns the request of a task for the placement policy.
    pub(super) fn request(&self) -> PlacementRequest<'a> {
        PlacementRequest {
            step: self.step,
            pressures: self.pressures,
            dissimilarities: self.dissimilarities,
            may_interfere: self.may_interfere,
            may_be_interrupted: self.may_be_interrupted,
        }
    }

    /// Returns the step that is searched for.
    pub(super) fn key(&self) -> (JobId, StepRef) {
        (self.job, self.step_ref)
    }

    /// Returns whether a task belongs to the searched step.
    fn is_same_step(&self, task: &TaskId) -> bool {
        task.job == self.job && StepRef::from(*task) == self.step_ref
    }
}

/// Placement of waiting tasks on executors.
impl CellState {
    /// Places waiting tasks and returns whether the round reached its limit of placements.
    pub fn place_waiting_tasks(&mut self, now: Instant) -> bool {
        self.place_departed_tasks(now);
        self.update_wait_times(now);
        self.placement_waits.begin_round();
        let waiting = self.waiting_steps(now);
        let mut rack_turns = self.rack_turns(&waiting, now);
        let overdue = waiting.iter().filter(|waiting| {
            let since = self.waiting_since.get(&(waiting.job, waiting.step_ref));
            since.is_some_and(|since| now.duration_since(*since) >= LONG_RUNNING_WAIT_MAX)
        });
        let overdue: Vec<WaitingStep> = overdue.copied().collect();
        let turns = overdue.iter().map(|waiting| (waiting, true));
        let turns = turns.chain(waiting.iter().map(|waiting| (waiting, false)));
        let mut placed = 0;
        let mut full_racks = BTreeSet::new();
        for (waiting, requires_spare_room) in turns {
            let rivals = rack_turns.remove(&(waiting.job, waiting.step_ref));
            for turn in rivals.into_iter().flatten() {
                let limit = turn.tasks_max.min(PLACEMENTS_PER_ROUND_MAX - placed);
                if limit == 0 || full_racks.contains(&turn.rack) {
                    continue;
                }
                match self.place_step(&turn.step, Some(&turn.rack), false, limit, now) {
                    0 => _ = full_racks.insert(turn.rack),
                    count => placed += count,
                }
            }
            let limit = PLACEMENTS_PER_ROUND_MAX - placed;
            placed += self.place_step(waiting, None, requires_spare_room, limit, now);
            if placed >= PLACEMENTS_PER_ROUND_MAX {
                return true;
            }
        }
        self.end_closed_waits(now);
        false
    }

    /// Creates the tasks of all occurrences that are due at the given time, in milliseconds since
    /// 1970.
    pub fn create_due_occurrences(&mut self, now_unix_ms: u64) {
        let latest_ms = now_unix_ms + self.settings.early_max.as_millis() as u64;
        for job in self.ledger.jobs_mut() {
            let Some(schedule) = job.submission().spec.schedule else {
                continue;
            };
            let mut due = job.created_occurrence_count();
            while due < schedule.occurrences && schedule.due_unix_ms(due) <= latest_ms {
                due += 1;
            }
            job.create_occurrences(due);
        }
    }

    pub(super) fn waiting_steps(&self, now: Instant) -> Vec<WaitingStep> {
        let mut waiting = Vec::new();
        for job in self.ledger.jobs().filter(|job| job.is_open()) {
            let mut queue = None;
            for step_ref in job.ready_steps() {
                let queue = queue.get_or_insert_with(|| Self::queue_config(&self.config, job));
                let context = RankContext {
                    queue,
                    run_time: self.run_times.ratio(&queue.name),
                    now,
                };
                waiting.push(WaitingStep {
                    rank: self.queue_policy.rank(job, step_ref, &context),
                    job: job.id(),
                    step_ref,
                });
            }
        }
        waiting.sort_by_key(|waiting| waiting.rank);
        self.apply_excess(&mut waiting, now);
        waiting
    }

    fn place_step(
        &mut self,
        waiting: &WaitingStep,
        rack: Option<&Label>,
        requires_spare_room: bool,
        limit: usize,
        now: Instant,
    ) -> usize {
        let Some(job) = self.ledger.job(waiting.job) else {
            return 0;
        };
        let submission = job.submission().clone();
        let queue = Self::queue_config(&self.config, job);
        let tasks: Vec<TaskId> = job
            .step_tasks(waiting.step_ref)
            .filter(|(_, progress)| progress.status == TaskStatus::Waiting)
            .map(|(task, _)| task)
            .filter(|task| !self.recent_losses.is_unjudged(*task))
            .collect();
        let step = &submission.spec.steps[waiting.step_ref.step as usize];
        let pressures = self.interference_pressures(step, now);
        let dissimilarities = match &step.image {
            Some(image) if step.tail_target_ms.is_some() => {
                let now_ms = self.elapsed_ms(now);
                self.interference.dissimilarities(image, now_ms)
            }
            _ => Vec::new(),
        };
        let has_been_idle = self.has_been_idle(waiting.job, &queue.service, now);
        let mut search = StepSearch {
            job: waiting.job,
            step_ref: waiting.step_ref,
            step,
            service: &queue.service,
            pressures: &pressures,
            dissimilarities: &dissimilarities,
            rack,
            needs_ticket: queue.advice.is_some(),
            requires_spare_room,
            ignores_ramp_up: requires_spare_room,
            may_interfere: has_been_idle,
            may_be_interrupted: has_been_idle,
            isolates: false,
        };
        if step.is_gang {
            return self.place_gang(&search, &tasks, now);
        }
        let (isolated, tasks): (Vec<TaskId>, Vec<TaskId>) = tasks
            .into_iter()
            .partition(|task| self.must_isolate_now(*task, now));
        let placed_isolated = self.place_isolated(&search, &isolated, limit, now);
        if tasks.is_empty() {
            return placed_isolated;
        }
        let limit = limit - placed_isolated;
        let mut candidates = self.score_executors(&search, now);
        let mut choice = RackChoice::NoChoice;
        let mut placed = 0;
        for (index, task) in tasks.iter().copied().enumerate().take(limit) {
            let Some(best) = candidates.pop() else {
                if rack.is_none() {
                    self.note_tasks_ahead(&search, tasks.len() - index);
                }
                break;
            };
            // Once a task runs elsewhere, the ones after it would wait even longer.
            if choice != RackChoice::RunElsewhere {
                choice = self.choose_rack(&search, task, &best.executor, now);
            }
            if choice == RackChoice::Wait {
                candidates.push(best);
                continue;
            }
            if !self.place_task(step, task, &best.executor, now) {
                continue;
            }
            placed += 1;
            let is_first_to_interfere = search.may_interfere;
            if is_first_to_interfere {
                // One task is enough for the job to have work in progress.
                search.may_interfere = false;
                search.may_be_interrupted = false;
            }
            if let Some(executor) = self.executors.get_mut(&best.executor) {
                executor.consume_headroom(&pressures, step.need.cpu_milli.0);
            }
            if is_first_to_interfere {
                candidates = self.score_executors(&search, now);
            } else if let Some(executor) = self.executors.get(&best.executor) {
                candidates.extend(self.score_executor(&search, executor, now));
            }
        }
        placed + placed_isolated
    }

    /// Returns the executors that accept a task of the step, ordered by score.
    pub(super) fn score_executors(
        &self,
        search: &StepSearch<'_>,
        now: Instant,
    ) -> BinaryHeap<ScoredExecutor> {
        let executors = self.available_executors(search.service, now);
        executors
            .filter_map(|executor| self.score_executor(search, executor, now))
            .collect()
    }

    /// Returns the serving images that a step's tasks are known to interfere with, each with its
    /// interference weight.
    pub(super) fn interference_pressures(
        &self,
        step: &StepSpec,
        now: Instant,
    ) -> Vec<(ImageName, f64)> {
        let now_ms = self.elapsed_ms(now);
        match &step.image {
            Some(image) if step.is_filler => self.interference.pressures(image, now_ms),
            _ => Vec::new(),
        }
    }

    /// Returns the executors of a pool that accept new runs.
    pub(super) fn available_executors<'s>(
        &'s self,
        service: &'s ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &'s Executor> {
        self.executors.values().filter(move |executor| {
            executor.entry.service == *service && self.may_place_on(executor, now)
        })
    }

    /// Returns an executor with its score for a step's tasks, or `None` if they must not run there.
    pub(super) fn score_executor(
        &self,
        search: &StepSearch<'_>,
        executor: &Executor,
        now: Instant,
    ) -> Option<ScoredExecutor> {
        let StepSearch { step, .. } = *search;
        let labels = &executor.entry.labels;
        let is_on_rack = search.rack.is_none_or(|rack| labels.contains(rack));
        let is_over_target = step.is_filler && executor.over_target_since.is_some();
        if !is_on_rack || is_over_target || !self.may_place_on(executor, now) {
            return None;
        }
        if search.needs_ticket && !self.has_ticket(search, executor, now) {
            return None;
        }
        if executor.is_closed_to(search.job) && !search.requires_spare_room {
            return None;
        }
        let isolation_penalty = self.isolation_penalty(search, executor, now)?;
        let request = search.request();
        let score = self.placement.score(&request, executor)? - speed_penalty(step, executor, now);
        let reserved = step.reserved();
        if search.requires_spare_room
            && !reserved.saturating_add(&reserved).fits_in(&executor.free())
        {
            return None;
        }
        let same_step_count = || {
            let tasks = executor.runs().keys();
            tasks.filter(|task| search.is_same_step(task)).count() as u32
        };
        if step
            .per_executor_max
            .is_some_and(|limit| same_step_count() >= limit)
        {
            return None;
        }
        if !self.ramp_up_permits(search, executor, now) || !self.holds_leave_room(search, executor)
        {
            return None;
        }
        Some(ScoredExecutor {
            score: score - isolation_penalty - Self::cold_penalty(executor, now),
            executor: executor.entry.id.clone(),
        })
    }

    /// Returns whether a start of the step's tasks on an executor has the ticket that it needs.
    pub(super) fn has_ticket(
        &self,
        search: &StepSearch<'_>,
        executor: &Executor,
        now: Instant,
    ) -> bool {
        let valid_at = now + TICKET_VALIDITY_MIN;
        self.ticket(search.job, search.step_ref, executor, valid_at)
            .is_some()
    }

    pub(super) fn place_task(
        &mut self,
        step: &StepSpec,
        task: TaskId,
        id: &ExecutorId,
        now: Instant,
    ) -> bool {
        let is_isolated = self.needs_isolation(task) && self.isolates_on(task, id, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return false;
        };
        let Some(key) = executor.key() else {
            return false;
        };
        let Some(job) = self.ledger.job_mut(task.job) else {
            return false;
        };
        // The members of a gang share one run number, above all earlier numbers of any member.
        let gang_run = step.is_gang.then(|| {
            let members = job
                .step_tasks(task.into())
                .map(|(_, member)| match member.status {
                    TaskStatus::Waiting => member.run.next(),
                    _ => member.run,
                });
            members.max().unwrap_or_default()
        });
        let Some(run) = job.place_with_run(task, key.clone(), gang_run) else {
            return false;
        };
        let heard_ms = executor
            .clock
            .map_or(0, |clock| now.duration_since(clock.seen_at()).as_millis());
        decided!(Decision::RunPlaced, task: task, run: run, executor: key, free: executor.free(), heard_ms: heard_ms, config: self.config.version());
        let view = RunView {
            is_isolated,
            ..RunView::new(run, step, RunPhase::Proposed, now)
        };
        executor.add_run(task, view);
        executor.end_isolation_beside(task.job);
        self.isolation_waits.remove(&task);
        executor.ramp_up.record_start();
        let service = executor.entry.service.clone();
        *self.pool_starts.entry(service).or_default() += 1;
        self.record_placed(task, now);
        self.dirty.insert(task.job);
        self.effects.push(Effect::Start {
            executor: key,
            task,
            run,
        });
        self.record_placement(step, task, run, id, now);
        true
    }
}
