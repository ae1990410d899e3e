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

/// The share of its target below which a tail that was over the target counts as recovered.
const TAIL_RECOVERED_RATIO: f64 = 0.9;

/// The time span of the measurements in an executor's report.
const MEASUREMENT_WINDOW: Duration = Duration::from_millis(500);

/// The time constant with which tails follow the load of an executor.
const TAIL_TIME_CONSTANT: Duration = Duration::from_millis(450);
/// The time from the record of a new pace until it has taken effect on the executor.
const PACE_LATENCY: Duration = Duration::from_millis(200);

/// Control of the tail latency of serving tasks through the fillers beside them.
impl CellState {
    /// Evaluates the tails of an executor's serving tasks, and paces or moves the fillers there.
    pub(super) fn control_tail_latency(&mut self, id: &ExecutorId, now: Instant) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let tails = tail_ratios(executor);
        // Measurements are noisy: a tail over its target counts as such until it is well below.
        let bound = executor
            .over_target_since
            .map_or(1.0, |_| TAIL_RECOVERED_RATIO);
        let is_over_target = tails.iter().any(|tail| tail.ratio > bound);
        let measured_from = now.checked_sub(MEASUREMENT_WINDOW).unwrap_or(now);
        executor.over_target_since =
            is_over_target.then(|| executor.over_target_since.unwrap_or(measured_from));
        let over_target_for = executor
            .over_target_since
            .map_or(Duration::ZERO, |since| now.duration_since(since));
        executor.record_filler_shares(now);
        let filler_shares = executor
            .filler_history
            .weighted_mean(now, TAIL_TIME_CONSTANT);
        let settled_from = measured_from
            .checked_sub(PACE_LATENCY)
            .unwrap_or(measured_from);
        let is_settled = executor.paced_at.is_none_or(|at| at <= settled_from);
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let sample = TailSample {
            tails,
            filler_shares,
            is_settled,
            over_target_for,
            fillers: self.filler_samples(executor, now),
        };
        let now_ms = self.elapsed_ms(now);
        self.interference.learn(&sample, now_ms);
        let headroom = self.interference.headroom(&sample, now_ms);
        let mut may_move = true;
        for action in self.interference.actions(&sample, now_ms) {
            may_move &= !self.apply_filler_action(id, action, may_move, &sample, now);
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.headroom = headroom;
            executor.record_filler_shares(now);
        }
    }

    /// Handles a failed pace order, whose effect is unknown.
    ///
    /// Records another pace than the ordered one, so that the pace is ordered again after the next
    /// report.
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
            view.paused_since = None;
        }
    }

    fn filler_samples(&self, executor: &Executor, now: Instant) -> Vec<FillerSample> {
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
                    paused_for: view.paused_for(now),
                    can_move: step.checkpoints,
                })
            })
            .collect()
    }

    /// Applies one action of the interference controller and returns whether a filler was moved.
    ///
    /// An undisturbed executor has room for one filler at a time. Without `may_move`, the filler is
    /// paused where it runs.
    fn apply_filler_action(
        &mut self,
        id: &ExecutorId,
        action: FillerAction,
        may_move: bool,
        sample: &TailSample,
        now: Instant,
    ) -> bool {
        let (task, run, percent) = match action {
            FillerAction::Pace(task, run, percent) => (task, run, percent),
            FillerAction::Move(task, run) => {
                if may_move
                    && self.has_undisturbed_executor(task, now)
                    && let Some(key) = self.executors.get(id).and_then(Executor::key)
                {
                    decided!(Decision::RunStopping, task: task, run: run, executor: id, cause: "interferes with serving tasks", ratio: sample.worst_ratio());
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
        view.set_pace(percent, now);
        executor.paced_at = Some(now);
        executor.send(Order::Pace(task, run, percent));
        false
    }

    /// Returns whether another executor could run the task without interference.
    fn has_undisturbed_executor(&self, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.ledger.job(task.job) else {
            return false;
        };
        let step = job.step(task.step);
        let service = &Self::queue_config(&self.config, job).service;
        let pressures = self.interference_pressures(step, now);
        let request = PlacementRequest {
            step,
            pressures: &pressures,
            dissimilarities: &[],
            may_interfere: false,
            may_be_interrupted: false,
        };
        self.available_executors(service, now).any(|executor| {
            request.fit_on(executor) == Fit::AtPeakLoad
                && self.placement.score(&request, executor).is_some()
        })
    }
}

/// Returns the tail of each serving task on an executor, as a multiple of the target.
fn tail_ratios(executor: &Executor) -> Vec<TailRatio> {
    let runs = executor.runs().iter();
    let tails = runs.filter_map(|(task, view)| {
        let ratio = view.recent_measurement? / view.tail_target_ms?.max(1) as f64;
        // A ratio of 0 means that the task has not served any requests yet.
        (ratio > 0.0).then_some(TailRatio {
            task: *task,
            image: view.image.clone()?,
            ratio,
        })
    });
    tails.collect()
}
