use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use super::Effect;
use super::place::Place;
use super::tickets::TICKET_MARGIN;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::StepRef;
use crate::ledger::TaskStatus;
use crate::model::ExecutorId;
use crate::model::ImageName;
use crate::model::JobId;
use crate::model::Label;
use crate::model::RunNumber;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::policy::PlacementRequest;
use crate::policy::Rank;

/// The most runs placed in one round, so that a round does not hold up answers; at 20 rounds a
/// second, above the starts that the largest deployment asks for.
const PLACED_PER_ROUND_MAX: usize = 256;

/// How long a job waits with nothing running before its tasks may go where they disturb; a rule
/// gives 3 s.
const IDLE_MAX: Duration = Duration::from_millis(1_500);

/// How long tasks that last wait behind others while there is ample room; a rule gives 6 s.
const LASTING_WAIT_MAX: Duration = Duration::from_millis(3_000);

/// A step that has tasks to start.
#[derive(Clone, Copy)]
pub(super) struct Waiting {
    rank: Rank,
    pub(super) job: JobId,
    pub(super) at: StepRef,
}

/// Where a step's tasks are to go.
#[derive(Clone, Copy)]
struct Search<'a> {
    job: JobId,
    at: StepRef,
    step: &'a StepSpec,
    service: &'a ServiceId,
    pressures: &'a [(ImageName, f64)],
    /// The only rack to look at, if any.
    rack: Option<&'a Label>,
    /// Whether starts need a ticket.
    needs_ticket: bool,
    /// Whether as much as the task takes must be left for others.
    leaves_room: bool,
    /// Whether the tasks may go where they disturb.
    may_disturb: bool,
}

impl Search<'_> {
    /// Returns whether a task belongs to the step that is sought for.
    fn is_sibling(&self, task: &TaskId) -> bool {
        task.job == self.job && StepRef::from(*task) == self.at
    }
}

/// Which waiting tasks go where.
impl CellState {
    /// Places waiting tasks; returns whether the round was cut short.
    pub fn place_waiting_tasks(&mut self, now: Instant) -> bool {
        self.note_waits(now);
        let waiting = self.waiting_steps(now);
        let overdue = waiting.iter().filter(|waiting| {
            let since = self.waits_since.get(&(waiting.job, waiting.at));
            since.is_some_and(|since| now.duration_since(*since) >= LASTING_WAIT_MAX)
        });
        let overdue: Vec<Waiting> = overdue.copied().collect();
        let turns = overdue.iter().map(|waiting| (waiting, true));
        let turns = turns.chain(waiting.iter().map(|waiting| (waiting, false)));
        let mut placed = 0;
        for (waiting, leaves_room) in turns {
            placed += self.place_step(waiting, leaves_room, PLACED_PER_ROUND_MAX - placed, now);
            if placed >= PLACED_PER_ROUND_MAX {
                return true;
            }
        }
        false
    }

    /// Makes the occurrences known that are due, by the time of day.
    pub fn create_due_occurrences(&mut self, now_unix_ms: u64) {
        let latest_ms = now_unix_ms + self.settings.early_max.as_millis() as u64;
        for job in self.ledger.jobs_mut() {
            let Some(schedule) = job.submission().spec.schedule else {
                continue;
            };
            let mut due = job.created_occurrences();
            while due < schedule.occurrences && schedule.due_unix_ms(due) <= latest_ms {
                due += 1;
            }
            job.create_occurrences(due);
        }
    }

    /// Notes since when tasks that last have waited, and which jobs have nothing running though a
    /// task could start.
    fn note_waits(&mut self, now: Instant) {
        let ledger = &self.ledger;
        let mut waits_since = BTreeMap::new();
        for job in ledger.jobs().filter(|job| job.is_open()) {
            let lasting = job
                .ready_steps()
                .filter(|at| job.step(at.step).is_long_running);
            for at in lasting {
                let key = (job.id(), at);
                let since = self.waits_since.get(&key).copied().unwrap_or(now);
                waits_since.insert(key, since);
            }
        }
        self.waits_since = waits_since;
        self.idle_since.retain(|id, _| {
            let job = ledger.job(*id);
            job.is_some_and(|job| job.is_open() && !job.has_placed_tasks())
        });
        for job in ledger.jobs().filter(|job| job.is_open()) {
            if !job.has_placed_tasks() && job.ready_steps().next().is_some() {
                self.idle_since.entry(job.id()).or_insert(now);
            }
        }
    }

    fn has_idled(&self, id: JobId, now: Instant) -> bool {
        let since = self.idle_since.get(&id);
        since.is_some_and(|since| now.duration_since(*since) >= IDLE_MAX)
    }

    pub(super) fn waiting_steps(&self, now: Instant) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for job in self.ledger.jobs().filter(|job| job.is_open()) {
            let mut terms = None;
            for at in job.ready_steps() {
                let terms = terms.get_or_insert_with(|| Self::terms_of(&self.config, job));
                waiting.push(Waiting {
                    rank: self.order.rank(job, at, terms, now),
                    job: job.id(),
                    at,
                });
            }
        }
        waiting.sort_by_key(|waiting| waiting.rank);
        waiting
    }

    fn place_step(
        &mut self,
        waiting: &Waiting,
        leaves_room: bool,
        most: usize,
        now: Instant,
    ) -> usize {
        let Some(job) = self.ledger.job(waiting.job) else {
            return 0;
        };
        let submission = job.submission().clone();
        let terms = Self::terms_of(&self.config, job);
        let tasks: Vec<TaskId> = job
            .step_tasks(waiting.at)
            .filter(|(_, progress)| progress.status == TaskStatus::Waiting)
            .map(|(task, _)| task)
            .collect();
        let step = &submission.spec.steps[waiting.at.step as usize];
        let pressures = self.pressures_of(step, now);
        let search = Search {
            job: waiting.job,
            at: waiting.at,
            step,
            service: &terms.service,
            pressures: &pressures,
            rack: None,
            needs_ticket: terms.advice.is_some(),
            leaves_room,
            may_disturb: self.has_idled(waiting.job, now),
        };
        if step.is_gang {
            return self.place_gang(&search, &tasks, now);
        }
        let mut places = self.places_for(&search, now);
        let mut placed = 0;
        for task in tasks.into_iter().take(most) {
            let Some(place) = places.pop() else {
                break;
            };
            if !self.place(step, task, &place.executor, now) {
                continue;
            }
            placed += 1;
            if let Some(executor) = self.executors.get_mut(&place.executor) {
                executor.consume_headroom(&pressures, step.need.cpu_milli.0);
            }
            if let Some(executor) = self.executors.get(&place.executor) {
                places.extend(self.place_on(&search, executor, now));
            }
        }
        placed
    }

    /// Returns the executors that a step's tasks may go to, with how well they suit.
    fn places_for(&self, search: &Search<'_>, now: Instant) -> BinaryHeap<Place> {
        let executors = self.open_executors(search.service, now);
        executors
            .filter_map(|executor| self.place_on(search, executor, now))
            .collect()
    }

    /// Places all members of a gang, or none; on one rack if they are slower on several.
    fn place_gang(&mut self, search: &Search<'_>, tasks: &[TaskId], now: Instant) -> usize {
        if tasks.len() < search.step.count as usize {
            return 0;
        }
        let racks = match search.step.same_rack {
            true => self.racks_of(search.service),
            false => Vec::new(),
        };
        let on_racks = racks.iter().map(Some).chain([None]);
        for rack in on_racks {
            let search = Search { rack, ..*search };
            let Some(places) = self.places_for_gang(&search, tasks, now) else {
                continue;
            };
            for (task, id) in &places {
                self.place(search.step, *task, id, now);
            }
            return places.len();
        }
        0
    }

    /// Finds a place for each member of a gang beside the others.
    fn places_for_gang(
        &mut self,
        search: &Search<'_>,
        tasks: &[TaskId],
        now: Instant,
    ) -> Option<Vec<(TaskId, ExecutorId)>> {
        let mut places = Vec::new();
        for task in tasks {
            let Some(Place { executor: id, .. }) = self.places_for(search, now).pop() else {
                break;
            };
            if let Some(executor) = self.executors.get_mut(&id) {
                let run = RunNumber::default();
                let view = RunView::new(run, search.step, RunPhase::Proposed, now);
                executor.add_run(*task, view);
            }
            places.push((*task, id));
        }
        for (task, id) in &places {
            if let Some(executor) = self.executors.get_mut(id) {
                executor.remove_run(*task, RunNumber::default());
            }
        }
        (places.len() == tasks.len()).then_some(places)
    }

    /// Returns the racks of a pool.
    fn racks_of(&self, service: &ServiceId) -> Vec<Label> {
        let executors = self.executors.values().map(|executor| &executor.entry);
        let racks: BTreeSet<Label> = executors
            .filter(|entry| entry.service == *service)
            .filter_map(|entry| entry.rack().cloned())
            .collect();
        racks.into_iter().collect()
    }

    /// Returns which serving images a step's tasks are known to disturb.
    pub(super) fn pressures_of(&self, step: &StepSpec, now: Instant) -> Vec<(ImageName, f64)> {
        let now_ms = self.steady_ms(now);
        match &step.image {
            Some(image) if step.is_filler => self.interference.pressures(image, now_ms),
            _ => Vec::new(),
        }
    }

    /// Returns the executors of a pool that take new runs.
    pub(super) fn open_executors<'s>(
        &'s self,
        service: &'s ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &'s Executor> {
        let silence_max = self.settings.silence_max();
        self.executors.values().filter(move |executor| {
            executor.entry.service == *service && executor.accepts_runs(silence_max, now)
        })
    }

    /// Returns how well an executor suits a step's tasks, or `None` if they must not go there.
    fn place_on(&self, search: &Search<'_>, executor: &Executor, now: Instant) -> Option<Place> {
        let Search { step, .. } = *search;
        let rack = executor.entry.rack();
        let is_searched = search.rack.is_none_or(|searched| rack == Some(searched));
        let is_disturbed = step.is_filler && executor.over_target_since.is_some();
        if !is_searched || is_disturbed || !executor.accepts_runs(self.settings.silence_max(), now)
        {
            return None;
        }
        if search.needs_ticket {
            self.ticket(search.job, search.at, executor, now + TICKET_MARGIN)?;
        }
        let request = PlacementRequest {
            step,
            pressures: search.pressures,
            may_interfere: search.may_disturb,
        };
        let score = self.placement.score(&request, executor)?;
        let taken = step.reserved();
        if search.leaves_room && !taken.saturating_add(&taken).fits_in(&executor.free()) {
            return None;
        }
        let siblings = || {
            let tasks = executor.runs().keys();
            tasks.filter(|task| search.is_sibling(task)).count() as u32
        };
        if step.per_executor_max.is_some_and(|most| siblings() >= most) {
            return None;
        }
        Some(Place {
            score,
            executor: executor.entry.id.clone(),
        })
    }

    fn place(&mut self, step: &StepSpec, task: TaskId, id: &ExecutorId, now: Instant) -> bool {
        let Some(executor) = self.executors.get_mut(id) else {
            return false;
        };
        let Some(key) = executor.key() else {
            return false;
        };
        let Some(job) = self.ledger.job_mut(task.job) else {
            return false;
        };
        // The members of a gang share a run number, which is above all that they had.
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
        decided!(Decision::RunPlaced, task: task, run: run, executor: id, free: executor.free(), heard_ms: heard_ms, config: self.config.version());
        executor.add_run(task, RunView::new(run, step, RunPhase::Proposed, now));
        self.dirty.insert(task.job);
        self.effects.push(Effect::Start {
            executor: key,
            task,
            run,
        });
        true
    }
}
