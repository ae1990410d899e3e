use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::Executor;
use crate::model::ExecutorId;
use crate::model::Label;
use crate::model::RunNumber;
use crate::model::ServiceId;
use crate::model::TaskId;
use crate::observe::Decision;
use crate::observe::JobMetrics;
use crate::observe::decided;
use crate::policy::CapacityForecast;
use crate::policy::EstimateErrors;
use crate::policy::NoWaitReason;
use crate::policy::Room;
use crate::policy::SlotNeed;
use crate::policy::TimeSpread;

/// The pool, the rack and whether the forecast is for fillers, which use capacity that others only
/// reserve.
pub(super) type RackKey = (ServiceId, Label, bool);

/// The forecast of one rack, with the part of the tasks ahead that it has not taken in yet.
#[derive(Debug, Default)]
pub(super) struct RackForecast {
    pub(super) capacity: CapacityForecast,
    /// Whether the rooms are those of fillers.
    pub(super) is_for_fillers: bool,
    /// The time until executors on the rack answer, if this owner is new and some have not yet.
    pub(super) first_reports: Option<TimeSpread>,
    /// What it costs others that capacity of the pool is taken.
    pub(super) capacity_price: f64,
    /// The age of the oldest report behind the forecast, in milliseconds.
    pub(super) heard_ms: u128,
    /// The share of the pool's executors that are on the rack.
    pub(super) pool_share: f64,
    /// Tasks ahead that are due to the rack by its share, less than one.
    pub(super) tasks_due: f64,
}

/// Capacity that is held for a waiting task against work behind it in the order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    /// The resources that the task reserves.
    pub(super) room: Room,
    /// The time until the task is expected to start, in milliseconds.
    pub(super) start_ms: f64,
}

/// A task, or a gang under its first member, that waits for its preferred placement.
#[derive(Clone, Debug)]
struct OpenWait {
    rack: Label,
    since: Instant,
    expected_gain_ms: f64,
    /// Why the wait ends, once it was decided that the task runs elsewhere.
    end_reason: Option<NoWaitReason>,
}

/// A run that began at its preferred placement after a wait.
#[derive(Clone, Copy, Debug)]
struct WaitedRun {
    run: RunNumber,
    waited: Duration,
}

/// The start of a wait, with the inputs of its decision.
pub(super) struct WaitStart<'a> {
    pub(super) task: TaskId,
    pub(super) rack: &'a Label,
    pub(super) waited_ms: f64,
    pub(super) expected_wait_ms: f64,
    pub(super) limit_ms: f64,
    pub(super) gain_ms: f64,
    pub(super) slack_ms: f64,
    /// The age of the oldest report behind the expected wait.
    pub(super) heard_ms: u128,
}

/// The waits for preferred placements, and the forecasts and holds of the current round.
#[derive(Debug, Default)]
pub(super) struct PlacementWaits {
    pub(super) errors: EstimateErrors,
    pub(super) forecasts: BTreeMap<RackKey, RackForecast>,
    /// The processors needed by tasks that nothing was free for in the previous round, in thousandths
    /// of a core, by pool and whether they are fillers.
    pub(super) backlog_milli: BTreeMap<(ServiceId, bool), u64>,
    /// The same for the current round.
    pub(super) unplaced_milli: BTreeMap<(ServiceId, bool), u64>,
    /// The tasks ahead of the current step that nothing was free for.
    pub(super) tasks_ahead: Vec<(ServiceId, SlotNeed, usize)>,
    holds: BTreeMap<ExecutorId, Vec<Hold>>,
    open: BTreeMap<TaskId, OpenWait>,
    waited_runs: BTreeMap<TaskId, WaitedRun>,
}

impl PlacementWaits {
    /// Drops the forecasts and holds of the previous round.
    pub(super) fn begin_round(&mut self) {
        self.forecasts.clear();
        self.backlog_milli = std::mem::take(&mut self.unplaced_milli);
        self.tasks_ahead.clear();
        self.holds.clear();
    }

    /// Holds the room of a task on an executor until the end of the round.
    pub(super) fn hold(&mut self, executor: ExecutorId, hold: Hold) {
        self.holds.entry(executor).or_default().push(hold);
    }

    /// Returns whether what is held on an executor leaves room for a task.
    ///
    /// A task that ends before the held room is needed may use it; `run_time` tells when it ends.
    pub(super) fn leaves_room(
        &self,
        executor: &Executor,
        reserved: Room,
        run_time: impl Fn() -> Option<TimeSpread>,
    ) -> bool {
        let Some(holds) = self.holds.get(&executor.entry.id) else {
            return true;
        };
        let latest_end_ms = run_time().map(|time| time.late_ms());
        let mut room = Room::from(executor.free());
        for hold in holds {
            if latest_end_ms.is_none_or(|end_ms| end_ms > hold.start_ms) {
                room -= hold.room;
            }
        }
        room.holds(&reserved)
    }

    /// Returns since when a task has waited for its preferred placement.
    pub(super) fn since(&self, task: TaskId) -> Option<Instant> {
        self.open.get(&task).map(|wait| wait.since)
    }

    /// Records that a task waits, and logs the first such decision.
    pub(super) fn wait(&mut self, start: &WaitStart<'_>, metrics: &JobMetrics, now: Instant) {
        if let Some(wait) = self.open.get_mut(&start.task) {
            wait.end_reason = None;
            return;
        }
        decided!(Decision::PlacementWaitStarted, task: start.task, rack: start.rack, waited_ms: start.waited_ms as u64, expected_wait_ms: start.expected_wait_ms as u64, limit_ms: start.limit_ms as u64, gain_ms: start.gain_ms as i64, slack_ms: start.slack_ms as i64, heard_ms: start.heard_ms);
        metrics.add_expected_gain(start.gain_ms);
        let wait = OpenWait {
            rack: start.rack.clone(),
            since: now
                .checked_sub(Duration::from_millis(start.waited_ms as u64))
                .unwrap_or(now),
            expected_gain_ms: start.gain_ms,
            end_reason: None,
        };
        self.open.insert(start.task, wait);
    }

    /// Records that a waiting task is to run elsewhere.
    pub(super) fn give_up(&mut self, task: TaskId, reason: NoWaitReason) {
        if let Some(wait) = self.open.get_mut(&task) {
            wait.end_reason = Some(reason);
        }
    }

    /// Ends the wait of a task that was placed.
    pub(super) fn end(
        &mut self,
        task: TaskId,
        run: RunNumber,
        executor: &Executor,
        metrics: &JobMetrics,
        now: Instant,
    ) {
        let Some(wait) = self.open.remove(&task) else {
            return;
        };
        let is_there = executor.entry.labels.contains(&wait.rack);
        let outcome: &'static str = match (is_there, wait.end_reason) {
            (true, _) => "placed-there",
            (false, Some(reason)) => reason.into(),
            (false, None) => "placed-elsewhere",
        };
        let waited = now.duration_since(wait.since);
        log_end(task, &wait, outcome, waited);
        metrics.count_placement_wait(outcome);
        if is_there {
            self.waited_runs.insert(task, WaitedRun { run, waited });
        } else {
            metrics.add_actual_gain(-(waited.as_millis() as f64));
        }
    }

    /// Ends the waits and forgets the runs of tasks for which `is_current` does not hold any more.
    pub(super) fn retain(
        &mut self,
        is_current: impl Fn(TaskId) -> bool,
        metrics: &JobMetrics,
        now: Instant,
    ) {
        self.waited_runs.retain(|task, _| is_current(*task));
        self.open.retain(|task, wait| {
            let is_kept = is_current(*task);
            if !is_kept {
                let waited = now.duration_since(wait.since);
                log_end(*task, wait, "job-over", waited);
                metrics.count_placement_wait("job-over");
                metrics.add_actual_gain(-(waited.as_millis() as f64));
            }
            is_kept
        });
    }

    /// Records what a wait has gained, at the end of a run that took `run_time`.
    pub(super) fn record_run(
        &mut self,
        task: TaskId,
        run: RunNumber,
        far_factor: f64,
        run_time: Duration,
        metrics: &JobMetrics,
    ) {
        let waited = self.waited_runs.remove(&task);
        if let Some(waited) = waited.filter(|waited| waited.run == run) {
            let saved_ms = (far_factor - 1.0) * run_time.as_millis() as f64;
            metrics.add_actual_gain(saved_ms - waited.waited.as_millis() as f64);
        }
    }
}

fn log_end(task: TaskId, wait: &OpenWait, outcome: &str, waited: Duration) {
    decided!(Decision::PlacementWaitEnded, task: task, rack: wait.rack, outcome: outcome, waited_ms: waited.as_millis(), expected_gain_ms: wait.expected_gain_ms as i64);
}
