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

/// The number of failed runs after which a task must not start again.
pub(crate) const ATTEMPTS_MAX: u32 = 3;

/// The longest lease that an executor grants, in milliseconds. Owners request shorter ones.
const LEASE_MAX_MS: u64 = 10_000;

/// A run on a simulated executor.
#[derive(Clone, Debug)]
struct SimulatedRun {
    run: RunNumber,
    work_left_ms: u64,
    work_ms: u64,
    need: Resources,
    fails: bool,
}

/// An executor that follows the platform's contract.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedExecutor {
    pub(crate) id: &'static str,
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    clock_ms: u64,
    /// Whether orders with a lower fencing token than the highest one are refused.
    enforces_fences: bool,
    token: Epoch,
    lease_end_ms: u64,
    capacity: Resources,
    runs: BTreeMap<TaskId, SimulatedRun>,
    ended: Vec<EndedRun>,
    /// The number of ended runs in one report.
    pub(crate) listed_ends_max: usize,
    /// The number of the last end before the lease expired. Ends up to this number never count.
    void_up_to: u64,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended on this executor.
    highest_ended_run: HashMap<TaskId, RunNumber>,
    /// How far the history was when each end took place, by the number of the end.
    ended_after: HashMap<u64, Moment>,
}

/// A position in the order of all starts.
pub(crate) type Moment = usize;

/// The outcomes of the runs on all executors.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The tasks with an acknowledged end `done`.
    pub(crate) done: HashSet<TaskId>,
    /// The acknowledged failed ends of each task, as the numbers of starts before them.
    failures: HashMap<TaskId, Vec<Moment>>,
    /// All starts in their order.
    starts: Vec<(TaskId, RunNumber)>,
}

impl History {
    /// Returns the number of starts so far.
    pub(crate) fn moment(&self) -> Moment {
        self.starts.len()
    }

    pub(crate) fn record_start(&mut self, task: TaskId, run: RunNumber) {
        self.starts.push((task, run));
    }

    /// Returns the runs of each task in the order of their starts.
    pub(crate) fn runs(&self) -> HashMap<TaskId, Vec<RunNumber>> {
        let mut runs: HashMap<TaskId, Vec<RunNumber>> = HashMap::new();
        for (task, run) in &self.starts {
            runs.entry(*task).or_default().push(*run);
        }
        runs
    }

    /// Returns how many acknowledged runs of the task have failed.
    pub(crate) fn failure_count(&self, task: TaskId) -> usize {
        self.failures.get(&task).map_or(0, Vec::len)
    }

    /// Records the acknowledgement of an end and checks that no start came after an end that rules
    /// it out. The end may have taken place long before its acknowledgement.
    fn acknowledge(&mut self, ended: &EndedRun, ended_at: Moment) {
        let task = ended.task;
        match ended.end {
            RunEnd::Done => {
                self.done.insert(task);
                let later = self.start_after(task, ended_at);
                assert_eq!(later, None, "{task} started after it was done");
            }
            RunEnd::Failed => {
                let failures = self.failures.entry(task).or_default();
                failures.push(ended_at);
                failures.sort_unstable();
                let last = failures.get(ATTEMPTS_MAX as usize - 1).copied();
                let later = last.and_then(|last| self.start_after(task, last));
                assert_eq!(later, None, "{task} started after its last attempt");
            }
            _ => {}
        }
    }

    fn start_after(&self, task: TaskId, moment: Moment) -> Option<RunNumber> {
        let later = self.starts[moment..].iter();
        later
            .filter(|(started, _)| *started == task)
            .map(|(_, run)| *run)
            .next()
    }
}

/// Returns a renewal as a link sends it over a new connection, which may lead to another incarnation: it
/// acknowledges no run ends and extends no lease.
pub(crate) fn over_new_connection(renewal: Renewal) -> Renewal {
    Renewal {
        acked_end: 0,
        lease_end_ms: None,
        ..renewal
    }
}

impl SimulatedExecutor {
    pub(crate) fn new(id: &'static str, capacity: Resources, enforces_fences: bool) -> Self {
        Self {
            id,
            incarnation: 1,
            is_up: true,
            clock_ms: 50_000,
            enforces_fences,
            token: Epoch(0),
            lease_end_ms: 0,
            capacity,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            listed_ends_max: 500,
            void_up_to: 0,
            last_end: 0,
            highest_ended_run: HashMap::new(),
            ended_after: HashMap::new(),
        }
    }

    /// Returns whether a run of the task is active on this executor.
    pub(crate) fn runs(&self, task: TaskId) -> bool {
        self.is_up && self.runs.contains_key(&task)
    }

    /// Returns the resources that all runs need together.
    pub(crate) fn used(&self) -> Resources {
        let needs = self.runs.values().map(|run| run.need);
        needs.fold(Resources::default(), |sum, need| sum.saturating_add(&need))
    }

    pub(crate) fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Loses all runs and ends. `restart` begins the next incarnation.
    pub(crate) fn crash(&mut self) {
        self.is_up = false;
        self.runs.clear();
        self.ended.clear();
    }

    pub(crate) fn restart(&mut self) {
        let fresh = Self::new(self.id, self.capacity, self.enforces_fences);
        *self = Self {
            incarnation: self.incarnation + 1,
            clock_ms: 1_000,
            listed_ends_max: self.listed_ends_max,
            ..fresh
        };
    }

    /// Advances the clock: runs make progress and end, and leases expire.
    pub(crate) fn advance(&mut self, time_ms: u64, moment: Moment) {
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
            self.end(task, end, moment);
        }
        if lapsed {
            self.void_up_to = self.last_end;
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
        let is_running = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run == order.run);
        if is_running {
            return Ok(false);
        }
        let refused = |refusal| Err(OrderError::Refused(refusal));
        let highest_ended_run = self.highest_ended_run.get(&order.task);
        if highest_ended_run.is_some_and(|highest_ended_run| order.run <= *highest_ended_run)
            || self.runs.contains_key(&order.task)
        {
            self.extend_lease(order.lease_end_ms);
            return refused(StartRefusal::Old);
        }
        if order.lease_end_ms <= self.clock_ms {
            return refused(StartRefusal::Late);
        }
        if !need.saturating_add(&self.used()).fits_in(&self.capacity) {
            self.extend_lease(order.lease_end_ms);
            return refused(StartRefusal::Room);
        }
        self.extend_lease(order.lease_end_ms);
        let run = SimulatedRun {
            run: order.run,
            work_left_ms: work_ms,
            work_ms,
            need,
            fails,
        };
        self.runs.insert(order.task, run);
        Ok(true)
    }

    pub(crate) fn stop(&mut self, order: &StopOrder, moment: Moment) -> Result<(), OrderError> {
        self.check(order.token)?;
        let is_running = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.run == order.run);
        if is_running {
            self.end(order.task, RunEnd::Stopped, moment);
        }
        let highest_ended_run = self.highest_ended_run.entry(order.task).or_default();
        *highest_ended_run = (*highest_ended_run).max(order.run);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        renewal: &Renewal,
        history: &mut History,
    ) -> Result<ExecutorReport, OrderError> {
        self.check(renewal.token)?;
        if let Some(lease_end_ms) = renewal.lease_end_ms {
            self.extend_lease(lease_end_ms);
        }
        for ended in &self.ended {
            if ended.number <= renewal.acked_end && ended.number > self.void_up_to {
                history.acknowledge(ended, self.ended_after[&ended.number]);
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
            may_have_more_ends: self.ended.len() >= self.listed_ends_max,
            running: running.collect(),
            ended: self
                .ended
                .iter()
                .take(self.listed_ends_max)
                .cloned()
                .collect(),
        })
    }

    fn check(&mut self, token: Epoch) -> Result<(), OrderError> {
        if !self.is_up {
            return Err(OrderError::NoListener("connection refused".into()));
        }
        if self.enforces_fences && token < self.token {
            return Err(OrderError::Fenced);
        }
        self.token = self.token.max(token);
        Ok(())
    }

    fn extend_lease(&mut self, lease_end_ms: u64) {
        let granted = lease_end_ms.min(self.clock_ms + LEASE_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }

    fn end(&mut self, task: TaskId, end: RunEnd, moment: Moment) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.last_end += 1;
        self.ended_after.insert(self.last_end, moment);
        let highest_ended_run = self.highest_ended_run.entry(task).or_default();
        *highest_ended_run = (*highest_ended_run).max(run.run);
        self.ended.push(EndedRun {
            number: self.last_end,
            task,
            run: run.run,
            end,
            checkpoint: Some(checkpoint(task)),
        });
    }
}

/// Returns the checkpoint of a task, which no other task may resume from.
pub(crate) fn checkpoint(task: TaskId) -> Checkpoint {
    task.to_string().as_str().into()
}
