//! Executors that crash, simulated around the state machine of a cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::cell::JobLookup;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::model::JobId;
use dotterelhook_jobs::model::JobState;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_types::ids::Incarnation;
use tokio::time::Instant;

use crate::fixture::CellHarness;
use crate::fixture::executor_entry;
use crate::fixture::job;
use crate::fixture::settings;

/// The time between two rounds of messages.
const ROUND: Duration = Duration::from_millis(50);
/// The time after a crash at which the platform removes the executor's entry.
const UNLISTED_AFTER: Duration = Duration::from_millis(4_500);
/// The processors of an executor, in thousandths of a core.
pub(crate) const EXECUTOR_CPU_MILLI: u64 = 8_000;

/// How a crashed executor returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Return {
    /// Another executor takes its place.
    NewId,
    /// It starts again under its id.
    SameId,
    /// It is gone for good, and calls to it get no answer.
    Never,
}

#[derive(Debug)]
struct WorldExecutor {
    entry: ExecutorEntry,
    incarnation: u64,
    runs: BTreeMap<TaskId, (RunNumber, Instant)>,
    ended: Vec<EndedRun>,
    last_end: u64,
    /// When the executor crashed, and how it returns.
    crashed: Option<(Instant, Return)>,
    is_listed: bool,
    /// Whether no message passes between hosts and the executor, which works on.
    is_cut_off: bool,
}

/// A cell, its executors, and tasks that crash the executors that start them.
pub(crate) struct CrashWorld {
    pub(crate) harness: CellHarness,
    began_at: Instant,
    submissions: Vec<(JobId, Arc<Submission>)>,
    executors: BTreeMap<ExecutorId, WorldExecutor>,
    next_executor: u32,
    /// The tasks that crash their executors, and how long after their start.
    pub(crate) deadly: BTreeMap<TaskId, Duration>,
    pub(crate) returns: Return,
    /// The time for which a crashed executor is down before it starts again under its id.
    pub(crate) downtime: Duration,
    /// Whether the answers to the starts of deadly tasks are lost.
    pub(crate) loses_answers: bool,
    /// The time that each task works, except long-running ones.
    pub(crate) work: Duration,
    /// The jobs whose tasks never end by themselves.
    pub(crate) endless: BTreeSet<JobId>,
    pub(crate) starts: BTreeMap<TaskId, u32>,
    settings: CellSettings,
}

impl CrashWorld {
    pub(crate) fn new(executors: u32) -> Self {
        Self::with_settings(executors, settings())
    }

    pub(crate) fn with_settings(executors: u32, settings: CellSettings) -> Self {
        let harness = CellHarness::with_settings(settings.clone());
        let mut world = Self {
            began_at: harness.now,
            harness,
            submissions: Vec::new(),
            executors: BTreeMap::new(),
            next_executor: 0,
            deadly: BTreeMap::new(),
            returns: Return::NewId,
            downtime: Duration::from_millis(3_200),
            loses_answers: false,
            work: Duration::from_millis(1_000),
            endless: BTreeSet::new(),
            starts: BTreeMap::new(),
            settings,
        };
        for _ in 0..executors {
            world.add_executor();
        }
        world.run(Duration::from_millis(200));
        world
    }

    /// Adds an executor and returns its id.
    fn add_executor(&mut self) -> ExecutorId {
        self.next_executor += 1;
        let entry = executor_entry(&format!("i-{:03}", self.next_executor), EXECUTOR_CPU_MILLI);
        let id = entry.id.clone();
        self.harness.upsert_executor(entry.clone());
        let executor = WorldExecutor {
            entry,
            incarnation: 1,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            crashed: None,
            is_listed: true,
            is_cut_off: false,
        };
        self.executors.insert(id.clone(), executor);
        id
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, number: u64, submission: Arc<Submission>) {
        self.submissions
            .push((job(number), Arc::clone(&submission)));
        let now = self.harness.now;
        self.harness.cell.accept(job(number), submission, now);
    }

    /// Submits a job of a task that crashes each executor as soon as it starts.
    pub(crate) fn submit_deadly(&mut self, number: u64, submission: Arc<Submission>, task: TaskId) {
        self.deadly.insert(task, Duration::ZERO);
        self.submit(number, submission);
    }

    /// Lets the world go on for some time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            self.round();
        }
    }

    /// Lets the world go on until a job has a state, for at most `limit`. Returns the time it took.
    pub(crate) fn run_until(&mut self, number: u64, state: JobState, limit: Duration) -> Duration {
        let began_at = self.harness.now;
        while self.state(number) != Some(state) {
            let took = self.harness.now - began_at;
            assert!(took < limit, "job {number} is not {state} after {took:?}");
            self.round();
        }
        self.harness.now - began_at
    }

    /// Returns the state of a job that clients see.
    pub(crate) fn state(&self, number: u64) -> Option<JobState> {
        match self.harness.cell.lookup_job_state(job(number)) {
            JobLookup::Known(state) => Some(state),
            JobLookup::NotSubmitted => None,
        }
    }

    /// Returns the number of starts of a task.
    pub(crate) fn starts_of(&self, task: TaskId) -> u32 {
        self.starts.get(&task).copied().unwrap_or(0)
    }

    /// Returns the number of runs that work on any executor.
    pub(crate) fn running_count(&self) -> usize {
        let running = self.executors.values().filter(|e| e.crashed.is_none());
        running.map(|executor| executor.runs.len()).sum()
    }

    /// Returns the executors that are up.
    pub(crate) fn up(&self) -> Vec<ExecutorId> {
        let up = self.executors.iter().filter(|(_, e)| e.crashed.is_none());
        up.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the executor that runs a task.
    pub(crate) fn executor_of(&self, task: TaskId) -> Option<ExecutorId> {
        let runs = |(_, e): &(&ExecutorId, &WorldExecutor)| e.runs.contains_key(&task);
        self.executors.iter().find(runs).map(|(id, _)| id.clone())
    }

    /// Changes the entry of an executor that the platform lists.
    pub(crate) fn update_entry(
        &mut self,
        id: &ExecutorId,
        update: impl FnOnce(&mut ExecutorEntry),
    ) {
        let executor = self.executors.get_mut(id).expect("a known executor");
        update(&mut executor.entry);
        self.harness.upsert_executor(executor.entry.clone());
    }

    /// Crashes an executor for a cause outside of any task.
    pub(crate) fn crash(&mut self, id: &ExecutorId) {
        let returns = self.returns;
        let now = self.harness.now;
        if let Some(executor) = self.executors.get_mut(id) {
            executor.crashed = Some((now, returns));
            executor.ended.clear();
            executor.runs.clear();
        }
    }

    /// Cuts an executor off, or connects it again.
    pub(crate) fn set_cut_off(&mut self, id: &ExecutorId, is_cut_off: bool) {
        let executor = self.executors.get_mut(id).expect("a known executor");
        executor.is_cut_off = is_cut_off;
    }

    /// Replaces the owner by the next one, which knows only what is stored.
    pub(crate) fn take_over(&mut self) {
        self.harness = self
            .harness
            .take_over_with(self.settings.clone(), &self.submissions);
        let listed = self.executors.values().filter(|e| e.is_listed);
        let entries: Vec<ExecutorEntry> = listed.map(|e| e.entry.clone()).collect();
        for entry in entries {
            self.harness.upsert_executor(entry);
        }
    }

    fn round(&mut self) {
        self.harness.advance(ROUND);
        self.crash_under_deadly_tasks();
        self.return_crashed();
        let ids: Vec<ExecutorId> = self.executors.keys().cloned().collect();
        for id in &ids {
            self.renew(id);
        }
        let now = self.harness.now;
        self.harness.cell.expire_leases(now);
        self.harness.cell.judge_losses(now);
        self.harness.cell.relocate_runs(now);
        self.harness.commit();
        for id in &ids {
            self.deliver_orders(id);
        }
    }

    fn crash_under_deadly_tasks(&mut self) {
        let now = self.harness.now;
        let mut crashed = BTreeSet::new();
        for (id, executor) in &self.executors {
            for (task, (_, started_at)) in &executor.runs {
                let deadly = self.deadly.get(task);
                if deadly.is_some_and(|after| now >= *started_at + *after) {
                    crashed.insert(id.clone());
                }
            }
        }
        for id in crashed {
            self.crash(&id);
        }
    }

    fn return_crashed(&mut self) {
        let now = self.harness.now;
        let mut replaced = 0;
        let mut unlisted = Vec::new();
        for executor in self.executors.values_mut() {
            let Some((at, returns)) = executor.crashed else {
                continue;
            };
            if now >= at + self.downtime && returns == Return::SameId {
                executor.crashed = None;
                executor.incarnation += 1;
                executor.last_end = 0;
                executor.entry.incarnation = Some(Incarnation(executor.incarnation));
                self.harness.upsert_executor(executor.entry.clone());
            } else if now >= at + UNLISTED_AFTER && executor.is_listed {
                executor.is_listed = false;
                unlisted.push(executor.entry.id.clone());
                replaced += u32::from(returns == Return::NewId);
            }
        }
        for id in unlisted {
            self.harness.cell.mark_executor_missing(&id, now);
        }
        for _ in 0..replaced {
            self.add_executor();
        }
    }

    fn renew(&mut self, id: &ExecutorId) {
        let now = self.harness.now;
        let Some(renewal) = self.harness.cell.renewal(id, true) else {
            return;
        };
        let clock_ms = 1_000 + (now - self.began_at).as_millis() as u64;
        let executor = self.executors.get_mut(id).expect("a known executor");
        if let Some(error) = executor.call_error() {
            self.harness.cell.handle_renewal_failure(id, &error, now);
            return;
        }
        let is_over = |task: &TaskId, started_at: Instant| {
            !self.endless.contains(&task.job) && now >= started_at + self.work
        };
        let over: Vec<TaskId> = executor
            .runs
            .iter()
            .filter(|(task, (_, started_at))| is_over(task, *started_at))
            .map(|(task, _)| *task)
            .collect();
        for task in over {
            executor.end(task, RunEnd::Done);
        }
        executor
            .ended
            .retain(|ended| ended.number > renewal.acked_end);
        let progress_percent = |task: &TaskId, started_at: Instant| {
            let share = (now - started_at).div_duration_f64(self.work).min(1.0);
            100.0
                * if self.endless.contains(&task.job) {
                    1.0
                } else {
                    share
                }
        };
        let running = executor
            .runs
            .iter()
            .map(|(task, (run, started_at))| RunningRun {
                task: *task,
                run: *run,
                checkpoint: None,
                progress_percent: progress_percent(task, *started_at),
                recent_measurement: None,
            });
        let report = ExecutorReport {
            clock_ms,
            incarnation: Incarnation(executor.incarnation),
            running: running.collect(),
            ended: executor.ended.clone(),
            may_have_more_ends: false,
        };
        self.harness.cell.handle_report(id, report, now, now);
    }

    fn deliver_orders(&mut self, id: &ExecutorId) {
        if !self.harness.orders.contains_key(id) {
            return;
        }
        for order in self.harness.take_orders(id.as_str()) {
            match order {
                Order::Start(task, run) => self.start(id, task, run),
                Order::Stop(task, run) => self.stop(id, task, run),
                Order::Pace(..) => {}
            }
        }
    }

    fn start(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) {
        let now = self.harness.now;
        let cell = &mut self.harness.cell;
        if cell.start_order(id, task, run, true, now).is_none() {
            cell.abandon_start(id, task, run, false, now);
            return;
        }
        let executor = self.executors.get_mut(id).expect("a known executor");
        let answer = match executor.call_error() {
            Some(error) => Err(error),
            None => {
                executor.runs.insert(task, (run, now));
                *self.starts.entry(task).or_default() += 1;
                match self.loses_answers && self.deadly.contains_key(&task) {
                    true => Err(OrderError::Unknown("no answer".into())),
                    false => Ok(()),
                }
            }
        };
        cell.handle_start_result(id, task, run, answer, now);
        if self.deadly.get(&task).is_some_and(Duration::is_zero) && self.starts_of(task) > 0 {
            self.crash_if_running(id, task);
        }
    }

    fn crash_if_running(&mut self, id: &ExecutorId, task: TaskId) {
        if self.executors[id].runs.contains_key(&task) {
            self.crash(id);
        }
    }

    fn stop(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) {
        let now = self.harness.now;
        let executor = self.executors.get_mut(id).expect("a known executor");
        let answer = match executor.call_error() {
            Some(error) => Err(error),
            None => {
                if executor.runs.get(&task).is_some_and(|(at, _)| *at == run) {
                    executor.end(task, RunEnd::Stopped);
                }
                Ok(())
            }
        };
        let cell = &mut self.harness.cell;
        cell.handle_stop_result(id, task, run, answer, now);
    }
}

impl WorldExecutor {
    /// Returns how a call fails, or `None` if the executor answers.
    fn call_error(&self) -> Option<OrderError> {
        match self.crashed {
            Some((_, Return::Never)) => Some(OrderError::NotSent("no answer".into())),
            Some(_) => Some(OrderError::NoListener("connection refused".into())),
            None if self.is_cut_off => Some(OrderError::NotSent("no answer".into())),
            None => None,
        }
    }

    fn end(&mut self, task: TaskId, end: RunEnd) {
        if let Some((run, _)) = self.runs.remove(&task) {
            self.last_end += 1;
            self.ended.push(EndedRun {
                number: self.last_end,
                task,
                run,
                end,
                checkpoint: None,
            });
        }
    }
}
