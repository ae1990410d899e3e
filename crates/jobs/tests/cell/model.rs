use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use dotterelhook_jobs::model::Checkpoint;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::Renewal;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_jobs::platform::StartOrder;
use dotterelhook_jobs::platform::StartRefusal;
use dotterelhook_jobs::platform::StopOrder;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;

/// The longest lease that an executor grants.
const LEASE_MAX_MS: u64 = 6_000;

/// A run on a played executor.
#[derive(Clone, Debug)]
struct PlayedRun {
    run: RunNumber,
    work_left_ms: u64,
    work_ms: u64,
    need: Resources,
    fails: bool,
}

/// An executor that does what the platform promises of one.
#[derive(Clone, Debug)]
pub(crate) struct PlayedExecutor {
    pub(crate) id: &'static str,
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    clock_ms: u64,
    token: Epoch,
    lease_end_ms: u64,
    capacity: Resources,
    runs: BTreeMap<TaskId, PlayedRun>,
    ended: Vec<EndedRun>,
    /// Ends up to this number were listed when the lease lapsed; they never count.
    void_end: u64,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    gone: HashMap<TaskId, RunNumber>,
}

/// What the runs of all executors add up to.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Tasks whose end `done` was taken note of.
    pub(crate) done: HashSet<TaskId>,
    /// Failed runs of each task that were taken note of.
    pub(crate) failures: HashMap<TaskId, u32>,
    /// Starts of each run, by executor and life.
    pub(crate) starts: HashMap<TaskId, Vec<RunNumber>>,
}

impl PlayedExecutor {
    pub(crate) fn new(id: &'static str, capacity: Resources) -> Self {
        Self {
            id,
            incarnation: 1,
            is_up: true,
            clock_ms: 50_000,
            token: Epoch(0),
            lease_end_ms: 0,
            capacity,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            void_end: 0,
            last_end: 0,
            gone: HashMap::new(),
        }
    }

    /// Returns whether a run of the task works here.
    pub(crate) fn runs(&self, task: TaskId) -> bool {
        self.is_up && self.runs.contains_key(&task)
    }

    /// Returns what the runs take.
    pub(crate) fn used(&self) -> Resources {
        let needs = self.runs.values().map(|run| run.need);
        needs.fold(Resources::default(), |sum, need| sum.saturating_add(&need))
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Loses everything; the next life starts with `restart`.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
        self.ended.clear();
    }

    pub(crate) fn restart(&mut self) {
        let fresh = Self::new(self.id, self.capacity);
        *self = Self {
            incarnation: self.incarnation + 1,
            clock_ms: 1_000,
            ..fresh
        };
    }

    /// Lets time pass: runs work and end, leases lapse.
    pub(crate) fn pass(&mut self, time_ms: u64) {
        if !self.is_up {
            return;
        }
        self.clock_ms += time_ms;
        let lapsed = self.clock_ms >= self.lease_end_ms;
        let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            run.work_left_ms = run.work_left_ms.saturating_sub(time_ms);
            let end = match (lapsed, run.work_left_ms, run.fails) {
                (true, _, _) => RunEnd::Lapsed,
                (false, 0, true) => RunEnd::Failed,
                (false, 0, false) => RunEnd::Done,
                (false, _, _) => continue,
            };
            self.end(task, end);
        }
        if lapsed {
            self.void_end = self.last_end;
        }
    }

    pub(crate) fn start(
        &mut self,
        order: &StartOrder,
        need: Resources,
        work_ms: u64,
        fails: bool,
    ) -> Result<bool, OrderError> {
        self.check(order.token)?;
        let is_there = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run == order.run);
        if is_there {
            return Ok(false);
        }
        let refused = |refusal| Err(OrderError::Refused(refusal));
        let gone = self.gone.get(&order.task);
        if gone.is_some_and(|gone| order.run <= *gone) || self.runs.contains_key(&order.task) {
            return refused(StartRefusal::Old);
        }
        if order.lease_end_ms <= self.clock_ms {
            return refused(StartRefusal::Late);
        }
        if !need.saturating_add(&self.used()).fits_in(&self.capacity) {
            return refused(StartRefusal::Room);
        }
        self.lengthen(order.lease_end_ms);
        let run = PlayedRun {
            run: order.run,
            work_left_ms: work_ms,
            work_ms,
            need,
            fails,
        };
        self.runs.insert(order.task, run);
        Ok(true)
    }

    pub(crate) fn stop(&mut self, order: &StopOrder) -> Result<(), OrderError> {
        self.check(order.token)?;
        let is_there = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run == order.run);
        if is_there {
            self.end(order.task, RunEnd::Stopped);
        }
        let gone = self.gone.entry(order.task).or_default();
        *gone = (*gone).max(order.run);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        renewal: &Renewal,
        history: &mut History,
    ) -> Result<ExecutorReport, OrderError> {
        self.check(renewal.token)?;
        if let Some(lease_end_ms) = renewal.lease_end_ms {
            self.lengthen(lease_end_ms);
        }
        for ended in &self.ended {
            if ended.number <= renewal.acked_end && ended.number > self.void_end {
                match ended.end {
                    RunEnd::Done => {
                        history.done.insert(ended.task);
                    }
                    RunEnd::Failed => *history.failures.entry(ended.task).or_default() += 1,
                    _ => {}
                }
            }
        }
        self.ended.retain(|ended| ended.number > renewal.acked_end);
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.run,
            checkpoint: Some(checkpoint(*task)),
            progress_percent: 100.0 * (run.work_ms - run.work_left_ms) as f64 / run.work_ms as f64,
            recent_measurement: None,
        });
        Ok(ExecutorReport {
            clock_ms: self.clock_ms,
            incarnation: Incarnation(self.incarnation),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    fn check(&mut self, token: Epoch) -> Result<(), OrderError> {
        if !self.is_up {
            return Err(OrderError::NotSent("no listener".into()));
        }
        if token < self.token {
            return Err(OrderError::Fenced);
        }
        self.token = token;
        Ok(())
    }

    fn lengthen(&mut self, lease_end_ms: u64) {
        let granted = lease_end_ms.min(self.clock_ms + LEASE_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }

    fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.last_end += 1;
        let gone = self.gone.entry(task).or_default();
        *gone = (*gone).max(run.run);
        self.ended.push(EndedRun {
            number: self.last_end,
            task,
            run: run.run,
            end,
            checkpoint: Some(checkpoint(task)),
        });
    }
}

/// The saved state of a task; it must never reach another one.
pub(crate) fn checkpoint(task: TaskId) -> Checkpoint {
    task.to_string().as_str().into()
}
