use tokio::time::Instant;

use super::CellState;
use super::placement_waits::RackForecast;
use super::placement_waits::RackKey;
use super::planning::StepSearch;
use crate::fleet::Executor;
use crate::fleet::RunPhase;
use crate::fleet::RunView;
use crate::model::ExecutorId;
use crate::model::Label;
use crate::model::ServiceId;
use crate::model::StepSpec;
use crate::model::TaskId;
use crate::policy::CapacityForecast;
use crate::policy::DueEnd;
use crate::policy::ExecutorOutlook;
use crate::policy::Fit;
use crate::policy::Room;
use crate::policy::RunOutlook;
use crate::policy::SlotNeed;
use crate::policy::TimeSpread;
use crate::policy::reclaimable_milli;

/// How much more capacity costs if work waits for it than if it is only in use. With 0 instead of 20,
/// 0.026 fewer of the jobs were in time in the trial of docs/design/placement-wait.md, at a load of
/// 0.9 and a factor of 1.5.
const BACKLOG_WEIGHT: f64 = 20.0;

/// Forecasts of the capacity on preferred racks.
impl CellState {
    /// Returns whether an executor can't hold a task for another reason than a lack of room.
    pub(super) fn is_excluded(
        &self,
        search: &StepSearch<'_>,
        id: &ExecutorId,
        fits_now: bool,
        now: Instant,
    ) -> bool {
        let Some(executor) = self.executors.get(id) else {
            return true;
        };
        if fits_now {
            return self.score_executor(search, executor, now).is_none();
        }
        let step = search.step;
        let lacks_label = step
            .required_label
            .as_ref()
            .is_some_and(|label| !executor.entry.labels.contains(label));
        let request = search.request();
        let is_harmful = step.is_filler
            && (executor.over_target_since.is_some() || request.fit_on(executor) == Fit::Harmful);
        lacks_label
            || is_harmful
            || executor.health.is_on_probation()
            || search.needs_ticket && !self.has_ticket(search, executor, now)
    }

    /// Makes sure that the forecast of a rack exists, and returns its key.
    pub(super) fn load_forecast(
        &mut self,
        service: &ServiceId,
        rack: &Label,
        is_filler: bool,
        now: Instant,
    ) -> RackKey {
        let key = (service.clone(), rack.clone(), is_filler);
        if !self.placement_waits.forecasts.contains_key(&key) {
            let mut forecast = self.forecast(service, rack, is_filler, now);
            for (pool, need, count) in &self.placement_waits.tasks_ahead {
                if pool == service {
                    forecast.claim_share(need, *count);
                }
            }
            self.placement_waits.forecasts.insert(key.clone(), forecast);
        }
        key
    }

    pub(super) fn take_forecast(&mut self, key: &RackKey) -> RackForecast {
        let forecasts = &mut self.placement_waits.forecasts;
        forecasts.remove(key).unwrap_or_default()
    }

    /// Returns the forecast for the executors of a rack that accept runs. Those that are silent,
    /// draining or resting are expected to free nothing.
    fn forecast(
        &self,
        service: &ServiceId,
        rack: &Label,
        is_filler: bool,
        now: Instant,
    ) -> RackForecast {
        let mut pool_count = 0;
        let (mut used_milli, mut capacity_milli) = (0, 0);
        let mut heard_ms = 0;
        let mut outlooks = Vec::new();
        for executor in self.available_executors(service, now) {
            pool_count += 1;
            used_milli += executor.used().cpu_milli.0;
            capacity_milli += executor.entry.capacity.cpu_milli.0;
            if executor.entry.labels.contains(rack) {
                let seen_at = executor.clock.map_or(now, |clock| clock.seen_at());
                heard_ms = heard_ms.max(now.duration_since(seen_at).as_millis());
                outlooks.push(self.outlook(executor, is_filler, now));
            }
        }
        let backlog = &self.placement_waits.backlog_milli;
        let backlog_milli = *backlog.get(&(service.clone(), is_filler)).unwrap_or(&0);
        RackForecast {
            is_for_fillers: is_filler,
            first_reports: self.time_to_first_reports(service, rack, now),
            capacity_price: (used_milli as f64 + BACKLOG_WEIGHT * backlog_milli as f64)
                / capacity_milli.max(1) as f64,
            heard_ms,
            pool_share: outlooks.len() as f64 / f64::from(pool_count.max(1)),
            tasks_due: 0.0,
            capacity: CapacityForecast::new(outlooks),
        }
    }

    /// Returns the time until the executors on a rack answer this owner for the first time, or `None`
    /// if all have, or should have.
    fn time_to_first_reports(
        &self,
        service: &ServiceId,
        rack: &Label,
        now: Instant,
    ) -> Option<TimeSpread> {
        let answer_max_ms = self.settings.order_timeout.as_millis() as u64;
        let left_ms = answer_max_ms.saturating_sub(self.elapsed_ms(now));
        let is_unheard = |executor: &Executor| {
            executor.clock.is_none()
                && executor.entry.service == *service
                && executor.entry.labels.contains(rack)
                && !executor.entry.phase.is_draining()
                && !executor.listing.is_gone(now)
        };
        let is_waiting = left_ms > 0 && self.executors.values().any(is_unheard);
        is_waiting.then(|| TimeSpread::exact(left_ms as f64))
    }

    fn outlook(&self, executor: &Executor, is_filler: bool, now: Instant) -> ExecutorOutlook {
        let mut room = Room::from(executor.free());
        if is_filler {
            room.cpu_milli = reclaimable_milli(executor) as i64;
        }
        let ends = executor.runs().iter().map(|(task, view)| {
            let mut freed = Room::from(view.reserved);
            if is_filler && view.is_filler() {
                freed.cpu_milli = view.filler_cpu_milli as i64;
            }
            DueEnd {
                step: (task.job, (*task).into()),
                room: freed,
                due: self.due_end(executor, *task, view, now),
            }
        });
        ExecutorOutlook {
            executor: executor.entry.id.clone(),
            room,
            ends: ends.collect(),
        }
    }

    /// Returns when a run is due to end, or `None` if it is not expected to.
    fn due_end(
        &self,
        executor: &Executor,
        task: TaskId,
        view: &RunView,
        now: Instant,
    ) -> Option<TimeSpread> {
        if let RunPhase::Stopping { .. } | RunPhase::Withdrawn = view.phase {
            let stop_ms = self.settings.stop_max.as_secs_f64() * 1_000.0;
            return Some(TimeSpread::exact(stop_ms));
        }
        let job = self.ledger.job(task.job)?;
        let step = job.step(task.step);
        if step.is_long_running || view.pace_percent == 0 {
            return None;
        }
        let far_factor = self.settings.placement_wait?.far_factor.get();
        let pace = f64::from(view.pace_percent) / 100.0;
        let estimate_ms = step.estimate_ms as f64 * distance_factor(step, executor, far_factor);
        let has_checkpoint = job
            .task(task)
            .is_some_and(|progress| progress.checkpoint.is_some());
        let outlook = RunOutlook {
            estimate_ms: estimate_ms / pace,
            ratio: self.estimate_ratio(job),
            progress_percent: view.progress_percent,
            progress_age_ms: now.duration_since(view.progressed_at).as_secs_f64() * 1_000.0,
            speed_percent_per_ms: view.speed_percent_per_ms(has_checkpoint),
        };
        Some(outlook.remaining())
    }
}

impl RackForecast {
    /// Returns a need as it appears in this forecast.
    pub(super) fn as_seen(&self, need: &SlotNeed) -> SlotNeed {
        match self.is_for_fillers {
            true => *need,
            false => need.as_reserved(),
        }
    }

    /// Claims the rack's share of tasks that run anywhere in the pool.
    pub(super) fn claim_share(&mut self, need: &SlotNeed, count: usize) {
        let need = self.as_seen(need);
        self.tasks_due += count as f64 * self.pool_share;
        while self.tasks_due >= 1.0 {
            self.tasks_due -= 1.0;
            let Some(slot) = self.capacity.find(&need, |_, _| false) else {
                return;
            };
            self.capacity.claim(&need, &[slot]);
        }
    }
}

/// Returns how many times as long a task of the step runs on an executor as near its data.
pub(super) fn distance_factor(step: &StepSpec, executor: &Executor, far_factor: f64) -> f64 {
    let rack = step.preferred_rack.as_ref();
    match rack.is_none_or(|rack| executor.entry.labels.contains(rack)) {
        true => 1.0,
        false => far_factor,
    }
}
