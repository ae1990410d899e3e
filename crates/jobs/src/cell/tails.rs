use std::time::Duration;

use tokio::time::Instant;

use super::CellState;
use crate::fleet::Executor;
use crate::fleet::Order;
use crate::fleet::RunPhase;
use crate::model::ExecutorId;
use crate::model::RunNumber;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::policy::FillerAction;
use crate::policy::FillerSample;
use crate::policy::Fit;
use crate::policy::PlacementRequest;
use crate::policy::TailRatio;
use crate::policy::TailSample;

/// The tail ratio below which a tail that was over its target is within it again.
const OVER_END_RATIO: f64 = 0.9;

/// The time that an executor's figures cover.
const FIGURE_SPAN: Duration = Duration::from_millis(500);

/// Keeping serving tasks within their tails.
impl CellState {
    /// Looks at the tails on an executor and slows down or moves what works beside them.
    pub(super) fn keep_tails(&mut self, id: &ExecutorId, now: Instant) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let tails = tail_ratios(executor);
        // Figures are rough: a tail that has been over its target counts until it is well below.
        let bound = executor.over_target_since.map_or(1.0, |_| OVER_END_RATIO);
        let is_over = tails.iter().any(|tail| tail.ratio > bound);
        let measured_from = now.checked_sub(FIGURE_SPAN).unwrap_or(now);
        executor.over_target_since =
            is_over.then(|| executor.over_target_since.unwrap_or(measured_from));
        let over_target_for = executor
            .over_target_since
            .map_or(Duration::ZERO, |since| now.duration_since(since));
        executor.record_filler_shares(now);
        let filler_shares = executor.filler_history.mean(measured_from, now);
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let sample = TailSample {
            tails,
            filler_shares,
            over_target_for,
            fillers: self.filler_samples(executor),
        };
        let now_ms = self.steady_ms(now);
        self.interference.learn(&sample, now_ms);
        let headroom = self.interference.headroom(&sample, now_ms);
        let mut may_move = true;
        for step in self.interference.actions(&sample, now_ms) {
            may_move &= !self.take_step(id, step, may_move, &sample, now);
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.headroom = headroom;
            executor.record_filler_shares(now);
        }
    }

    /// Notes that a pace was not set for certain, so that it is set again.
    pub fn handle_pace_failure(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        percent: u32,
    ) {
        if let Some(executor) = self.executors.get_mut(id)
            && let Some(view) = executor.run_mut(task, run)
            && view.pace_percent == percent
        {
            view.pace_percent = if percent == 0 { 100 } else { 0 };
        }
    }

    fn filler_samples(&self, executor: &Executor) -> Vec<FillerSample> {
        let capacity_milli = executor.entry.capacity.cpu_milli.0.max(1) as f64;
        let fillers = executor
            .runs()
            .iter()
            .filter(|(_, view)| view.is_filler() && matches!(view.phase, RunPhase::Running { .. }));
        fillers
            .filter_map(|(task, view)| {
                let step = self.ledger.job(task.job)?.step(task.step);
                Some(FillerSample {
                    task: *task,
                    run: view.run,
                    image: step.image.clone(),
                    cpu_share: view.filler_cpu_milli as f64 / capacity_milli,
                    pace_percent: view.pace_percent,
                    can_move: step.checkpoints,
                })
            })
            .collect()
    }

    /// Carries one step out; returns whether a filler was moved.
    ///
    /// A quiet place has room for one at a time, so others are stopped where they are.
    fn take_step(
        &mut self,
        id: &ExecutorId,
        step: FillerAction,
        may_move: bool,
        sample: &TailSample,
        now: Instant,
    ) -> bool {
        let (task, run, percent) = match step {
            FillerAction::Pace(task, run, percent) => (task, run, percent),
            FillerAction::Move(task, run) => {
                if may_move
                    && self.has_quiet_place(task, now)
                    && let Some(key) = self.executors.get(id).and_then(Executor::key)
                {
                    decided!(Decision::RunStopping, task: task, run: run, executor: id, cause: "disturbs what serves beside it", ratio: sample.worst_ratio());
                    self.stop_run(&key, task, now);
                    return true;
                }
                (task, run, 0)
            }
        };
        let Some(executor) = self.executors.get_mut(id) else {
            return false;
        };
        let Some(view) = executor.run_mut(task, run) else {
            return false;
        };
        if view.pace_percent == percent {
            return false;
        }
        decided!(Decision::RunPaced, task: task, run: run, executor: id, percent: percent, was: view.pace_percent, ratio: sample.worst_ratio());
        view.pace_percent = percent;
        view.progressed_at = now;
        executor.send(Order::Pace(task, run, percent));
        false
    }

    /// Returns whether a task could go on at another executor without disturbing anything there.
    fn has_quiet_place(&self, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.ledger.job(task.job) else {
            return false;
        };
        let step = job.step(task.step);
        let service = &Self::terms_of(&self.config, job).service;
        let pressures = self.pressures_of(step, now);
        let request = PlacementRequest {
            step,
            pressures: &pressures,
            may_interfere: false,
        };
        self.open_executors(service, now).any(|executor| {
            request.fit_on(executor) == Fit::AtPeakLoad
                && self.placement.score(&request, executor).is_some()
        })
    }
}

/// Returns the tail of each serving task on an executor, as a multiple of its target.
fn tail_ratios(executor: &Executor) -> Vec<TailRatio> {
    let runs = executor.runs().iter();
    let tails = runs.filter_map(|(task, view)| {
        let ratio = view.recent_measurement? / view.tail_target_ms?.max(1) as f64;
        // A task that has not served yet has no tail.
        (ratio > 0.0).then_some(TailRatio {
            task: *task,
            image: view.image.clone()?,
            ratio,
        })
    });
    tails.collect()
}
