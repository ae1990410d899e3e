use tokio::time::Instant;

use super::CellState;
use super::gang_placement::RackRoom;
use super::placement_waits::Hold;
use super::placement_waits::RackForecast;
use super::placement_waits::RackKey;
use super::placement_waits::WaitStart;
use super::planning::StepSearch;
use super::rack_forecasts::distance_factor;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::ledger::Job;
use crate::ledger::StepRef;
use crate::model::ExecutorId;
use crate::model::JobId;
use crate::model::Label;
use crate::model::RunNumber;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::policy::EstimateRatio;
use crate::policy::FILLER_CPU_SHARE_MIN;
use crate::policy::JobSlack;
use crate::policy::PlacementWait;
use crate::policy::Room;
use crate::policy::Slot;
use crate::policy::SlotNeed;
use crate::policy::TimeSpread;
use crate::policy::WaitDecision;
use crate::policy::WaitInputs;
use crate::policy::WaitPolicy;

/// Limits the racks whose ends are forecast for a gang, so that a round stays cheap with many racks.
const GANG_RACKS_MAX: usize = 8;
/// Limits the tasks of one step ahead that a forecast takes in; more make any wait long anyway.
const TASKS_AHEAD_MAX: usize = 64;

/// What was chosen for a task that prefers a rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RackChoice {
    /// The best executor is on the rack, or the task never waits.
    NoChoice,
    /// The task runs elsewhere now.
    RunElsewhere,
    /// The task waits for the rack.
    Wait,
}

/// The choice between a wait for a rack and a run elsewhere.
struct WaitChoice<'a> {
    settings: PlacementWait,
    rack: &'a Label,
    /// The task, or the first member of the gang.
    task: TaskId,
    /// Where and when there is room on the rack; empty if none is expected.
    slots: Vec<Slot>,
    /// Whether there is room elsewhere now.
    is_free_elsewhere: bool,
}

/// The wait of tasks and gangs for a preferred placement.
impl CellState {
    /// Returns the wait settings that apply to a step, or `None` if its work never waits.
    ///
    /// Long-running tasks have no run time that a placement could save, and must start within a
    /// few seconds.
    fn wait_settings(&self, step: &StepSpec) -> Option<PlacementWait> {
        let settings = self.settings.placement_wait?;
        (settings.policy != WaitPolicy::Never && !step.is_long_running).then_some(settings)
    }

    /// Chooses whether a task waits for the rack with its data instead of running on `best`, the
    /// best executor that is free.
    pub(super) fn choose_rack(
        &mut self,
        search: &StepSearch<'_>,
        task: TaskId,
        best: &ExecutorId,
        now: Instant,
    ) -> RackChoice {
        let Some(rack) = &search.step.preferred_rack else {
            return RackChoice::NoChoice;
        };
        let Some(settings) = self.wait_settings(search.step) else {
            return RackChoice::NoChoice;
        };
        let is_there = |executor: &Executor| executor.entry.labels.contains(rack);
        if self.executors.get(best).is_none_or(is_there) {
            return RackChoice::NoChoice;
        }
        let Some(need) = self.slot_need(search.step, search.key()) else {
            return RackChoice::NoChoice;
        };
        let key = self.load_forecast(search.service, rack, search.step.is_filler, now);
        let forecast = self.take_forecast(&key);
        let slot = forecast.capacity.find(&need, |id, fits_now| {
            self.is_excluded(search, id, fits_now, now)
        });
        let slots: Vec<Slot> = slot.into_iter().collect();
        let choice = WaitChoice {
            settings,
            rack,
            task,
            slots,
            is_free_elsewhere: true,
        };
        match self.decides_to_wait(search, &choice, (key, forecast), now) {
            true => RackChoice::Wait,
            false => RackChoice::RunElsewhere,
        }
    }

    /// Returns whether a gang waits for room on one of its preferred racks. `is_free_elsewhere` tells
    /// whether all its members could run elsewhere now.
    pub(super) fn gang_waits_for_rack(
        &mut self,
        search: &StepSearch<'_>,
        tasks: &[TaskId],
        racks: &[RackRoom],
        is_free_elsewhere: bool,
        now: Instant,
    ) -> bool {
        let Some(settings) = self.wait_settings(search.step) else {
            return false;
        };
        let Some(first) = tasks.first() else {
            return false;
        };
        // Without a hold, a gang that nothing is free for never finds room for all its members beside
        // smaller work.
        if !is_free_elsewhere && settings.policy != WaitPolicy::Decided {
            return false;
        }
        let Some(need) = self.slot_need(search.step, search.key()) else {
            return false;
        };
        let mut best: Option<(&Label, Vec<Slot>)> = None;
        for (rack, _) in racks.iter().take(GANG_RACKS_MAX) {
            let search = StepSearch {
                rack: Some(rack),
                ..*search
            };
            let key = self.load_forecast(search.service, rack, search.step.is_filler, now);
            let forecast = self.take_forecast(&key);
            let slots = forecast
                .capacity
                .find_all(&need, tasks.len(), |id, fits_now| {
                    self.is_excluded(&search, id, fits_now, now)
                });
            self.placement_waits.forecasts.insert(key, forecast);
            // If all slots were free now, the gang would have been placed there.
            let slots = slots.filter(|slots| Slot::latest_start(slots).median_ms() > 0.0);
            let is_earlier = |slots: &Vec<Slot>| {
                best.as_ref().is_none_or(|(_, other)| {
                    Slot::latest_start(slots).median_ms() < Slot::latest_start(other).median_ms()
                })
            };
            if let Some(slots) = slots.filter(is_earlier) {
                best = Some((rack, slots));
            }
        }
        let Some((rack, slots)) = best.or_else(|| Some((&racks.first()?.0, Vec::new()))) else {
            return false;
        };
        let key = self.load_forecast(search.service, rack, search.step.is_filler, now);
        let forecast = self.take_forecast(&key);
        let choice = WaitChoice {
            settings,
            rack,
            task: *first,
            slots,
            is_free_elsewhere,
        };
        self.decides_to_wait(search, &choice, (key, forecast), now)
    }

    /// Makes a choice and records it. Puts the forecast back, with the slots claimed if the work
    /// waits.
    fn decides_to_wait(
        &mut self,
        search: &StepSearch<'_>,
        choice: &WaitChoice<'_>,
        (key, mut forecast): (RackKey, RackForecast),
        now: Instant,
    ) -> bool {
        let decided = self.decide_wait(search, choice, &forecast, now);
        let waits = match decided {
            Some((inputs, WaitDecision::Wait { limit_ms, gain_ms })) => {
                let expected_wait_ms = inputs.wait.unwrap_or_default().median_ms();
                let start = WaitStart {
                    task: choice.task,
                    rack: choice.rack,
                    waited_ms: inputs.waited_ms,
                    expected_wait_ms,
                    limit_ms,
                    gain_ms,
                    slack_ms: inputs.slack_ms,
                    heard_ms: forecast.heard_ms,
                };
                self.placement_waits.wait(&start, &self.metrics, now);
                if let Some(need) = self.slot_need(search.step, search.key()) {
                    forecast.capacity.claim(&need, &choice.slots);
                }
                if choice.settings.policy == WaitPolicy::Decided {
                    let hold = Hold {
                        room: search.step.reserved().into(),
                        start_ms: expected_wait_ms,
                    };
                    for slot in &choice.slots {
                        self.placement_waits.hold(slot.executor.clone(), hold);
                    }
                }
                if choice.is_free_elsewhere {
                    // A chosen wait is no lack of harmless places for a filler.
                    self.idle_since.remove(&search.job);
                }
                true
            }
            Some((_, WaitDecision::RunElsewhere(reason))) => {
                self.placement_waits.give_up(choice.task, reason);
                false
            }
            None => false,
        };
        self.placement_waits.forecasts.insert(key, forecast);
        waits
    }

    fn decide_wait(
        &self,
        search: &StepSearch<'_>,
        choice: &WaitChoice<'_>,
        forecast: &RackForecast,
        now: Instant,
    ) -> Option<(WaitInputs, WaitDecision)> {
        let job = self.ledger.job(search.job)?;
        // A wait costs nothing while nothing is free elsewhere.
        let since = match choice.is_free_elsewhere {
            true => self.placement_waits.since(choice.task),
            false => Some(now),
        };
        let since = since.unwrap_or_else(|| self.first_wait_since(job, search.step_ref, now));
        let slots = &choice.slots;
        let idle_share: f64 = slots.iter().map(|slot| slot.idle_share).sum();
        let inputs = WaitInputs {
            wait: match slots.is_empty() {
                true => forecast.first_reports,
                false => Some(Slot::latest_start(slots)),
            },
            idle_share: idle_share / slots.len().max(1) as f64,
            capacity_price: forecast.capacity_price,
            ..self.wait_inputs(job, search.step_ref, choice.settings, since, now)
        };
        let decision = match choice.settings.policy {
            WaitPolicy::Decided => inputs.decide(),
            _ => inputs.wait_while_slack(),
        };
        Some((inputs, decision))
    }

    /// Lets forecasts account for tasks of a step that nothing is free for: they are ahead in the
    /// order.
    pub(super) fn note_tasks_ahead(&mut self, search: &StepSearch<'_>, count: usize) {
        if count == 0 || self.wait_settings(search.step).is_none() {
            return;
        }
        let kind = (search.service.clone(), search.step.is_filler);
        let unplaced_milli = self.placement_waits.unplaced_milli.entry(kind).or_default();
        let needed_milli = search.step.need.cpu_milli.0.saturating_mul(count as u64);
        *unplaced_milli = unplaced_milli.saturating_add(needed_milli);
        if let Some(need) = self.slot_need(search.step, search.key()) {
            let count = count.min(TASKS_AHEAD_MAX);
            for (key, forecast) in &mut self.placement_waits.forecasts {
                if key.0 == *search.service {
                    forecast.claim_share(&need, count);
                }
            }
            let ahead = (search.service.clone(), need, count);
            self.placement_waits.tasks_ahead.push(ahead);
        }
    }

    /// Records the placement of a task in the forecasts, and ends its wait.
    pub(super) fn record_placement(
        &mut self,
        step: &StepSpec,
        task: TaskId,
        run: RunNumber,
        id: &ExecutorId,
        now: Instant,
    ) {
        if self.settings.placement_wait.is_none() {
            return;
        }
        if let Some(executor) = self.executors.get(id) {
            self.placement_waits
                .end(task, run, executor, &self.metrics, now);
        }
        if let Some(need) = self.slot_need(step, (task.job, task.into())) {
            for forecast in self.placement_waits.forecasts.values_mut() {
                let need = forecast.as_seen(&need);
                forecast.capacity.record_placement(id, &need);
            }
        }
    }

    /// Ends the waits of jobs that are over.
    pub(super) fn end_closed_waits(&mut self, now: Instant) {
        let ledger = &self.ledger;
        let is_open = |task: TaskId| ledger.is_open(task.job);
        self.placement_waits.retain(is_open, &self.metrics, now);
    }

    /// Returns whether the holds of waiting work leave room for a task of the step on an executor.
    pub(super) fn holds_leave_room(&self, search: &StepSearch<'_>, executor: &Executor) -> bool {
        let run_time = || self.run_time_on(search, executor);
        self.placement_waits
            .leaves_room(executor, search.step.reserved().into(), run_time)
    }

    /// Updates the error of the estimates and the gain of waits from the end of a run.
    pub(super) fn record_estimate_error(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        view: &RunView,
        now: Instant,
    ) {
        let (Some(settings), Some(executor)) =
            (self.settings.placement_wait, self.executors.get(id))
        else {
            return;
        };
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let RunPhase::Running { since } = view.phase else {
            return;
        };
        let run_time = now.duration_since(since);
        let far_factor = settings.far_factor.get();
        self.placement_waits
            .record_run(task, view.run, far_factor, run_time, &self.metrics);
        let step = job.step(task.step);
        let has_checkpoint = job
            .task(task)
            .is_some_and(|progress| progress.checkpoint.is_some());
        // Such runs tell nothing about the estimate: a part of the run is not seen, the run is
        // slowed down, or its speed depends on where the other members are.
        let is_special = view.is_inherited || has_checkpoint || view.pace_percent < 100;
        if is_special || step.is_long_running || step.is_gang {
            return;
        }
        let estimate_ms = step.estimate_ms as f64 * distance_factor(step, executor, far_factor);
        let queue = job.submission().queue.name.clone();
        let measured_ms = run_time.as_secs_f64() * 1_000.0;
        self.placement_waits
            .errors
            .record(&queue, estimate_ms, measured_ms);
    }

    /// Returns since when a task that was not known to wait has waited.
    ///
    /// Work that a former owner left unplaced may have waited since it was accepted.
    fn first_wait_since(&self, job: &Job, step_ref: StepRef, now: Instant) -> Instant {
        let age_ms = now.duration_since(job.accepted_at()).as_millis() as u64;
        let is_inherited = age_ms > self.elapsed_ms(now);
        let is_first = job.step(step_ref.step).after.is_empty();
        match is_inherited && is_first && !job.has_placed_tasks() {
            true => job.accepted_at(),
            false => now,
        }
    }

    pub(super) fn wait_inputs(
        &self,
        job: &Job,
        step_ref: StepRef,
        settings: PlacementWait,
        since: Instant,
        now: Instant,
    ) -> WaitInputs {
        let queue = Self::queue_config(&self.config, job);
        let waited_ms = now.duration_since(since).as_secs_f64() * 1_000.0;
        let age_ms = match job.submission().spec.schedule {
            // The age of the job says nothing about the newest occurrence.
            Some(_) => waited_ms,
            None => now.duration_since(job.accepted_at()).as_secs_f64() * 1_000.0,
        };
        let slack = JobSlack::of(job, step_ref, &queue, age_ms);
        WaitInputs {
            far_factor: settings.far_factor.get(),
            estimate_ms: job.step(step_ref.step).estimate_ms as f64,
            ratio: self.estimate_ratio(job),
            stretch: queue.stretch,
            objective_ms: slack.objective_ms,
            slack_ms: slack.slack_ms,
            waited_ms,
            wait: None,
            idle_share: 0.0,
            capacity_price: 0.0,
        }
    }

    pub(super) fn estimate_ratio(&self, job: &Job) -> EstimateRatio {
        let queue = &job.submission().queue.name;
        self.placement_waits.errors.ratio(queue)
    }

    /// Returns how long a task of the step takes on an executor, or `None` if it does not end.
    fn run_time_on(&self, search: &StepSearch<'_>, executor: &Executor) -> Option<TimeSpread> {
        let step = search.step;
        let job = self.ledger.job(search.job)?;
        if step.is_long_running {
            return None;
        }
        let far_factor = self.settings.placement_wait?.far_factor.get();
        let factor = match step.same_rack {
            true => far_factor,
            false => distance_factor(step, executor, far_factor),
        };
        let estimate_ms = step.estimate_ms as f64 * factor;
        Some(TimeSpread::of_run(estimate_ms, self.estimate_ratio(job)))
    }

    /// Returns what a task of the step needs at its preferred placement.
    fn slot_need(&self, step: &StepSpec, key: (JobId, StepRef)) -> Option<SlotNeed> {
        let job = self.ledger.job(key.0)?;
        let room = Room::from(step.need);
        let mut room_min = room;
        if step.is_filler {
            room_min.cpu_milli = (FILLER_CPU_SHARE_MIN * room.cpu_milli as f64) as i64;
        }
        Some(SlotNeed {
            step: key,
            room_min,
            room,
            reserved: step.reserved().into(),
            per_executor_max: step.per_executor_max,
            run_time: TimeSpread::of_run(step.estimate_ms as f64, self.estimate_ratio(job)),
        })
    }
}
