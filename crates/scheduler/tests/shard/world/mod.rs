//! Simulation of a small failure domain: scheduler processes, workers and a log, with faults on
//! every link.

mod agents;
mod domains;
mod process;
mod views;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

pub(crate) use agents::Fleet;
pub(crate) use agents::LinkFault;
use domains::FakeDomain;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_scheduler::RunCommandError;
use dotterelhook_scheduler::ShardCommand;
use dotterelhook_scheduler::shard::LeaseTimes;
use dotterelhook_state::config::BatchJob;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_state::shard::RunSpec;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::RunSummary;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardId;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use process::Process;
pub(crate) use process::VIEW_AGE_MAX;
use tokio::sync::oneshot;
use views::Views;

pub(crate) const HOSTS: usize = 3;
pub(crate) const WORKERS: usize = 3;
pub(crate) const LEASE: Duration = Duration::from_secs(4);
const RENEWAL_RIGHT: Duration = Duration::from_secs(40);
const CHECK_STEP_MS: u64 = 200;
/// Deadline of all runs.
pub(crate) const DEADLINE_AT_UNIX_MS: u64 = 7_200_000;
const SETTLE_STEPS_MAX: u64 = 600;

/// Returns the lease times of a correct scheduler.
pub(crate) fn safe_lease_times() -> LeaseTimes {
    LeaseTimes {
        renewal_right: RENEWAL_RIGHT,
        ..LeaseTimes::new(LEASE)
    }
}

/// Returns the lease times of a faulty scheduler that records attempts as lost after half the
/// required wait.
pub(crate) fn halved_lease_times() -> LeaseTimes {
    let times = safe_lease_times();
    LeaseTimes {
        expiry_wait: times.expiry_wait / 2,
        ..times
    }
}

pub(crate) struct World {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) log: Arc<MemoryLog>,
    pub(crate) views: Arc<Views>,
    pub(crate) domain: Arc<FakeDomain>,
    pub(crate) appends: Arc<AtomicU64>,
    times: LeaseTimes,
    processes: Vec<Option<Process>>,
    incarnation: u64,
    /// The evacuations of the failure domain: when each was requested and when it ended.
    evacuations: Vec<(u64, Option<u64>)>,
    replies: BTreeMap<RunId, Vec<oneshot::Receiver<Result<(), RunCommandError>>>>,
}

impl World {
    pub(crate) fn new(times: LeaseTimes) -> Self {
        let mut world = Self {
            fleet: Arc::new(Fleet::new(WORKERS)),
            log: Arc::default(),
            views: Arc::new(Views::new(HOSTS, WORKERS)),
            domain: Arc::new(FakeDomain::new()),
            appends: Arc::default(),
            times,
            processes: (0..HOSTS).map(|_| None).collect(),
            incarnation: 0,
            evacuations: Vec::new(),
            replies: BTreeMap::new(),
        };
        (0..HOSTS).for_each(|host| world.start(host));
        world
    }

    /// Returns a world of correct schedulers whose shard has an owner that knows all workers.
    pub(crate) async fn with_owner() -> Self {
        let mut world = Self::new(safe_lease_times());
        world
            .wait_until("an owner", |state| state.workers().len() == WORKERS)
            .await;
        world
    }

    pub(crate) fn start(&mut self, host: usize) {
        if self.processes[host].is_some() {
            return;
        }
        self.incarnation += 1;
        let incarnation = Incarnation(self.incarnation);
        self.views.set_live(host, Some(incarnation));
        let process = Process::spawn(self, host, incarnation);
        self.processes[host] = Some(process);
    }

    /// Kills a process; calls that it has sent still arrive.
    pub(crate) fn kill(&mut self, host: usize) {
        self.processes[host] = None;
        self.views.set_live(host, None);
    }

    pub(crate) async fn stop(&mut self, host: usize) {
        if let Some(process) = self.processes[host].take() {
            process.stop().await;
        }
        self.views.set_live(host, None);
    }

    pub(crate) fn process(&self, host: usize) -> Option<&Process> {
        self.processes[host].as_ref()
    }

    pub(crate) fn incarnation(&self, host: usize) -> Option<Incarnation> {
        Some(self.process(host)?.incarnation)
    }

    /// Submits a run to every process, like a submitter that retries until the run is accepted.
    pub(crate) fn submit(&mut self, run: &RunId, job: &BatchJob) {
        let spec = spec("cut", job);
        for process in self.processes.iter().flatten() {
            let (reply, answer) = oneshot::channel();
            let command = ShardCommand::Submit {
                run: run.clone(),
                spec: Box::new(spec.clone()),
                reply,
            };
            if process.commands.try_send(command).is_ok() {
                self.replies.entry(run.clone()).or_default().push(answer);
            }
        }
    }

    pub(crate) fn cancel(&mut self, run: &RunId) {
        for process in self.processes.iter().flatten() {
            let (reply, _) = oneshot::channel();
            let _ = process.commands.try_send(ShardCommand::Cancel {
                run: run.clone(),
                team: "night".parse().expect("a name"),
                job: "cut".parse().expect("a name"),
                reply,
            });
        }
    }

    /// Submits a run of a named job to the owner and waits for the answer.
    pub(crate) async fn submit_named(
        &mut self,
        run: &str,
        name: &str,
        job: &BatchJob,
    ) -> Result<(), RunCommandError> {
        let (reply, answer) = oneshot::channel();
        let owner = self.owner().await.ok_or(RunCommandError::NotOwner)?;
        let process = self.process(owner).ok_or(RunCommandError::NotOwner)?;
        let command = ShardCommand::Submit {
            run: run.parse().expect("a name"),
            spec: Box::new(spec(name, job)),
            reply,
        };
        let _ = process.commands.send(command).await;
        answer.await.unwrap_or(Err(RunCommandError::OutcomeUnknown))
    }

    /// Returns the specification of a run with the given settings.
    pub(crate) fn spec(&self, job: &BatchJob) -> Box<RunSpec> {
        Box::new(spec("cut", job))
    }

    /// Returns the owner according to the log.
    pub(crate) async fn owner(&self) -> Option<usize> {
        let state = self.state().await;
        let owner = state.owner()?.incarnation;
        (0..HOSTS).find(|host| self.incarnation(*host) == Some(owner))
    }

    /// Returns the run summaries of one process.
    pub(crate) async fn list_runs(&self, host: usize) -> Vec<RunSummary> {
        let (reply, answer) = oneshot::channel();
        let Some(process) = self.process(host) else {
            return Vec::new();
        };
        let _ = process
            .commands
            .send(ShardCommand::ListRuns { reply })
            .await;
        answer.await.unwrap_or_default()
    }

    /// Advances time until a condition on the folded state holds; panics after `SETTLE_STEPS_MAX`
    /// steps.
    pub(crate) async fn wait_until(&mut self, what: &str, holds: impl Fn(&ShardState) -> bool) {
        for _ in 0..SETTLE_STEPS_MAX {
            if holds(&self.state().await) {
                return;
            }
            self.advance(CHECK_STEP_MS).await;
        }
        panic!("never came: {what}");
    }

    /// Requests the evacuation of the failure domain, or ends it.
    pub(crate) fn set_evacuated(&mut self, is_evacuated: bool) {
        let now_ms = self.fleet.now_ms();
        let in_force = self.evacuations.last_mut().filter(|(_, to)| to.is_none());
        match (is_evacuated, in_force) {
            (true, None) => self.evacuations.push((now_ms, None)),
            (false, Some((_, to_ms))) => *to_ms = Some(now_ms),
            _ => {}
        }
        self.views.set_evacuated(is_evacuated);
    }

    /// Checks that no attempt started later after the request of an evacuation than an outdated view
    /// and a start on its way explain.
    pub(crate) fn check_evacuations(&self) {
        let bound_ms = (VIEW_AGE_MAX + LEASE).as_millis() as u64;
        for interval in self.fleet.intervals() {
            let at_ms = interval.from_ms;
            let is_late = |(from_ms, to_ms): &(u64, Option<u64>)| {
                at_ms > from_ms + bound_ms && to_ms.is_none_or(|to_ms| at_ms < to_ms)
            };
            let broken = self.evacuations.iter().find(|window| is_late(window));
            assert_eq!(broken, None, "started during an evacuation: {interval:?}");
        }
    }

    /// Checks that nothing of a run that has left runs or starts here once it was handed over, and that
    /// it is handed over in one state only.
    pub(crate) fn check_relocations(&self) {
        let mut first: BTreeMap<RunId, (u64, MovedRun)> = BTreeMap::new();
        for (at_ms, moved) in self.domain.received() {
            let known = first.entry(moved.run.clone());
            let (_, known) = known.or_insert_with(|| (at_ms, moved.clone()));
            assert_eq!(*known, moved, "a run left in two states");
        }
        for interval in self.fleet.intervals() {
            if let Some((at_ms, _)) = first.get(&interval.attempt.task.run) {
                let has_ended = interval.to_ms.is_some_and(|to_ms| to_ms <= *at_ms);
                assert!(has_ended, "runs after the run has left: {interval:?}");
            }
        }
    }

    /// Advances time and checks the workers at every step.
    pub(crate) async fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(CHECK_STEP_MS) {
            tokio::time::sleep(Duration::from_millis(CHECK_STEP_MS)).await;
            self.fleet.check();
        }
        self.check_evacuations();
        self.check_relocations();
    }

    /// Ends all faults and waits until no run is active and no attempt is open.
    pub(crate) async fn heal(&mut self) {
        self.log.set_fault(Default::default());
        self.fleet.heal();
        self.views.heal();
        self.set_evacuated(false);
        self.domain.set_loses_answers(false);
        for host in 0..HOSTS {
            if let Some(process) = &self.processes[host] {
                process.thaw();
                process.set_log_cut(false);
                process.set_slow_reads(false);
                process.set_config_cut(false);
                self.views.set_live(host, Some(process.incarnation));
            } else {
                self.start(host);
            }
        }
        for _ in 0..SETTLE_STEPS_MAX {
            self.advance(CHECK_STEP_MS).await;
            let state = self.state().await;
            if state.active_runs().is_empty() && state.open_attempts().is_empty() {
                return;
            }
        }
    }

    /// Folds the shard's whole stream into a new state.
    pub(crate) async fn state(&self) -> ShardState {
        let mut state = ShardState::default();
        for (offset, payload) in self.records().await {
            let _ = state.apply(offset, &payload);
        }
        state
    }

    pub(crate) async fn records(&self) -> Vec<(Offset, Box<str>)> {
        let stream = shard().stream();
        let page = self.log.as_ref();
        let page = page.read(&stream, Offset(0), usize::MAX, Duration::ZERO);
        let records = page.await.map(|page| page.records).unwrap_or_default();
        records.into_iter().map(|r| (r.offset, r.payload)).collect()
    }

    /// Checks that every start carried the checkpoint that the log records for the attempt.
    pub(crate) async fn check_checkpoints(&self) {
        let started = self.fleet.started();
        let mut state = ShardState::default();
        for (offset, payload) in self.records().await {
            let accepted = state.apply(offset, &payload).is_ok();
            let record: ShardRecord = serde_json::from_str(&payload).expect("a record");
            if let ShardEvent::Start { attempt, .. } = record.event
                && accepted
                && let Some(found) = started.get(&attempt)
            {
                assert_eq!(*found, recorded_checkpoint(&state, &attempt), "{attempt}");
            }
        }
    }

    /// Checks that the folded state holds every accepted run and that none is active.
    ///
    /// A run must be complete exactly if all of its tasks have succeeded.
    pub(crate) async fn check_runs(&mut self) {
        let state = self.state().await;
        for (run, replies) in &mut self.replies {
            let accepted = replies
                .iter_mut()
                .any(|r| matches!(r.try_recv(), Ok(Ok(()))));
            let found = state.runs().get(run);
            assert!(
                found.is_some() || !accepted,
                "{run} was accepted and is lost"
            );
            let Some(found) = found else { continue };
            assert_ne!(found.status, RunStatus::Active, "{run} never ended");
            let is_whole = found.done == found.spec.settings.tasks;
            assert_eq!(found.status == RunStatus::Complete, is_whole, "{run}");
        }
    }
}

fn recorded_checkpoint(state: &ShardState, attempt: &AttemptId) -> Option<Box<str>> {
    let run = state.runs().get(&attempt.task.run)?;
    match run.tasks.get(attempt.task.index as usize)? {
        TaskState::Open { checkpoint, .. } => checkpoint.clone(),
        _ => None,
    }
}

fn spec(name: &str, job: &BatchJob) -> RunSpec {
    RunSpec {
        team: "night".parse().expect("a name"),
        job: name.parse().expect("a name"),
        settings: job.clone(),
        deadline_at_unix_ms: DEADLINE_AT_UNIX_MS,
    }
}

pub(crate) fn shard() -> ShardId {
    ShardId {
        failure_domain: "laguna".parse().expect("a name"),
        index: 0,
    }
}

pub(crate) fn run_id(name: &str) -> RunId {
    name.parse().expect("a name")
}

pub(crate) fn job(tasks: u32, run_time_ms: u64, cpu_milli: u64) -> BatchJob {
    let job = serde_json::json!({
        "tasks": tasks,
        "size": { "cpu_milli": cpu_milli, "memory_mb": 100 },
        "run_time_ms": run_time_ms,
        "deadline_ms": 604_800_000,
        "checkpointable": true,
    });
    serde_json::from_value(job).expect("a job")
}
