use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::RenewBody;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_borders::worker::WorkerAgent;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::WorkerId;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::LatestAnswer;
use super::RenewalRight;
use super::latest_answer::WorkerAnswer;
use crate::evacuation::StartGate;

const COMMAND_QUEUE_MAX: usize = 4_096;
const CONCURRENT_CALLS_MAX: usize = 32;
const RENEWALS_PER_LEASE: u32 = 4;
const EARLY_RENEWAL_DELAY: Duration = Duration::from_millis(100);

/// A command of the shard's task to a worker's task.
#[derive(Debug)]
pub(crate) enum WorkerCommand {
    /// Start a recorded attempt and renew its lease from then on.
    Start(AttemptId, StartBody),
    /// Renew the lease of an attempt that already runs.
    KeepLease(AttemptId),
    /// Stop an attempt.
    Stop(AttemptId, StopBody),
    /// Make an attempt write a checkpoint, then stop it.
    Evict(AttemptId, StopBody),
    /// Limit an attempt to a percentage of its CPU time.
    Throttle(AttemptId, u32),
    /// Stop renewing an attempt whose end is recorded, and let the worker forget it.
    Forget(AttemptId),
}

/// The result of one lease renewal.
#[derive(Debug)]
pub(crate) struct WorkerReport {
    pub(crate) worker: WorkerId,
    /// The worker's inventory, or why the renewal failed.
    pub(crate) inventory: Result<Inventory, CallError>,
}

/// Dependencies and settings of one worker's task.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    pub(crate) worker: WorkerId,
    /// Listen address of the worker's agent.
    pub(crate) address: SocketAddr,
    /// Client of the worker's agent.
    pub(crate) agent: Arc<dyn WorkerAgent>,
    /// Duration of a lease after each renewal.
    pub(crate) lease: Duration,
    /// Source of the monotonic times of answers.
    pub(crate) clock: Arc<dyn Clock>,
    /// The owner's right to start and renew, checked before each start and renewal.
    pub(crate) renewal_right: Arc<RenewalRight>,
    /// Whether attempts may start in the failure domain, checked before each start.
    pub(crate) start_gate: Arc<StartGate>,
    /// The worker's newest answer, shared with the shard's task.
    pub(crate) latest_answer: Arc<LatestAnswer>,
    /// Receives the result of each renewal.
    pub(crate) reports: mpsc::Sender<WorkerReport>,
}

/// Handle of a running worker task; the task is aborted when the handle is dropped.
#[derive(Debug)]
pub(crate) struct WorkerHandle {
    address: SocketAddr,
    commands: mpsc::Sender<WorkerCommand>,
    task: JoinHandle<()>,
}

impl WorkerHandle {
    /// Returns the address of the worker's agent.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the task has ended although its handle is held, which only a panic causes.
    pub(crate) fn has_panicked(&self) -> bool {
        self.task.is_finished()
    }

    /// Sends a command and returns `true`, or drops it if the queue is full.
    ///
    /// The shard's task repeats dropped starts, stops and evictions after the next inventory.
    pub(crate) fn send(&self, command: WorkerCommand) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) fn spawn_worker_task(context: WorkerContext) -> WorkerHandle {
    let (commands, received) = mpsc::channel(COMMAND_QUEUE_MAX);
    let address = context.address;
    let task = WorkerTask {
        context,
        renewed_attempts: BTreeSet::new(),
        expected_ends: BTreeMap::new(),
        unconfirmed_throttles: BTreeMap::new(),
        calls: JoinSet::new(),
        next_renewal_at: Instant::now(),
    };
    WorkerHandle {
        address,
        commands,
        task: tokio::spawn(task.run(received)),
    }
}

/// The outcome of one call to the worker.
enum CallOutcome {
    Renewal(Result<Inventory, CallError>),
    Command(Result<(), CallError>),
    /// The attempt, its share of CPU time in percent, and the worker's answer.
    Throttle(AttemptId, u32, Result<(), CallError>),
}

struct WorkerTask {
    context: WorkerContext,
    renewed_attempts: BTreeSet<AttemptId>,
    expected_ends: BTreeMap<AttemptId, Instant>,
    /// The latest limit of each attempt, in percent, until the worker has confirmed it.
    unconfirmed_throttles: BTreeMap<AttemptId, u32>,
    calls: JoinSet<CallOutcome>,
    next_renewal_at: Instant,
}

impl WorkerTask {
    /// Runs calls concurrently, so that a call that hangs does not delay the renewals.
    async fn run(mut self, mut commands: mpsc::Receiver<WorkerCommand>) {
        let mut is_renewing = false;
        loop {
            let renewal_due = self.next_renewal_due();
            let may_call = self.calls.len() < CONCURRENT_CALLS_MAX;
            tokio::select! {
                biased;
                Some(outcome) = self.calls.join_next() => match outcome {
                    Ok(CallOutcome::Renewal(result)) => {
                        is_renewing = false;
                        if result.is_ok() {
                            self.repeat_throttles();
                        }
                        if self.report(result).await.is_err() {
                            return;
                        }
                    }
                    Ok(CallOutcome::Command(result)) => self.handle_command_result(result),
                    Ok(CallOutcome::Throttle(attempt, cpu_percent, result)) => {
                        self.handle_throttle_result(&attempt, cpu_percent, result);
                    }
                    Err(error) => {
                        warn!("worker: call to {} aborted: {error}", self.context.worker);
                        // It may have been the renewal. A second one beside it does no harm.
                        is_renewing = false;
                    }
                },
                command = commands.recv(), if may_call => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                () = tokio::time::sleep_until(renewal_due), if !is_renewing => {
                    is_renewing = true;
                    self.renew();
                }
            }
        }
    }

    /// Returns when to renew next.
    ///
    /// An expected end of an attempt brings the renewal forward, so that the result is read soon.
    fn next_renewal_due(&self) -> Instant {
        let earliest_end = self.expected_ends.values().min();
        let end = earliest_end.map_or(self.next_renewal_at, |end| *end + EARLY_RENEWAL_DELAY);
        end.min(self.next_renewal_at)
    }

    fn execute(&mut self, command: WorkerCommand) {
        let agent = Arc::clone(&self.context.agent);
        match command {
            WorkerCommand::Start(attempt, body) => self.start(agent, attempt, body),
            WorkerCommand::KeepLease(attempt) => {
                if self.renewed_attempts.insert(attempt) {
                    self.expedite_renewal();
                }
            }
            WorkerCommand::Stop(attempt, body) => {
                let call = async move { CallOutcome::Command(agent.stop(&attempt, &body).await) };
                self.calls.spawn(call);
            }
            WorkerCommand::Evict(attempt, body) => {
                self.calls.spawn(async move {
                    // If the checkpoint fails, the task resumes from its previous checkpoint.
                    let _ = agent.checkpoint(&attempt).await;
                    CallOutcome::Command(agent.stop(&attempt, &body).await)
                });
            }
            WorkerCommand::Throttle(attempt, cpu_percent) => {
                self.unconfirmed_throttles
                    .insert(attempt.clone(), cpu_percent);
                self.throttle(attempt, cpu_percent);
            }
            WorkerCommand::Forget(attempt) => {
                self.renewed_attempts.remove(&attempt);
                self.expected_ends.remove(&attempt);
                self.unconfirmed_throttles.remove(&attempt);
                let call = async move { CallOutcome::Command(agent.forget(&attempt).await) };
                self.calls.spawn(call);
            }
        }
    }

    fn start(&mut self, agent: Arc<dyn WorkerAgent>, attempt: AttemptId, body: StartBody) {
        let is_allowed = self.context.start_gate.hold().is_none();
        if !is_allowed || !self.context.renewal_right.is_valid() {
            return;
        }
        let expected_end = Instant::now() + Duration::from_millis(body.run_time_ms);
        self.expected_ends.insert(attempt.clone(), expected_end);
        self.renewed_attempts.insert(attempt.clone());
        let call = async move { CallOutcome::Command(agent.start(&attempt, &body).await) };
        self.calls.spawn(call);
    }

    fn throttle(&mut self, attempt: AttemptId, cpu_percent: u32) {
        let agent = Arc::clone(&self.context.agent);
        self.calls.spawn(async move {
            let result = agent.throttle(&attempt, cpu_percent).await;
            CallOutcome::Throttle(attempt, cpu_percent, result)
        });
    }

    /// Repeats the throttles whose effect is unknown, once the worker answers again.
    fn repeat_throttles(&mut self) {
        for (attempt, cpu_percent) in self.unconfirmed_throttles.clone() {
            self.throttle(attempt, cpu_percent);
        }
    }

    fn handle_throttle_result(
        &mut self,
        attempt: &AttemptId,
        cpu_percent: u32,
        result: Result<(), CallError>,
    ) {
        if result.is_ok() && self.unconfirmed_throttles.get(attempt) == Some(&cpu_percent) {
            self.unconfirmed_throttles.remove(attempt);
        }
        self.handle_command_result(result);
    }

    fn handle_command_result(&mut self, result: Result<(), CallError>) {
        if let Err(error) = result {
            warn!("worker: command to {} failed: {error}", self.context.worker);
            self.expedite_renewal();
        }
    }

    fn expedite_renewal(&mut self) {
        self.next_renewal_at = self
            .next_renewal_at
            .min(Instant::now() + EARLY_RENEWAL_DELAY);
    }

    fn renew(&mut self) {
        let now = Instant::now();
        self.next_renewal_at = now + self.context.lease / RENEWALS_PER_LEASE;
        self.expected_ends.retain(|_, end| *end > now);
        if !self.context.renewal_right.is_valid() {
            let error = CallError::not_run("renewal right expired without contact with the log");
            self.calls.spawn(async { CallOutcome::Renewal(Err(error)) });
            return;
        }
        let body = self.renew_body();
        let agent = Arc::clone(&self.context.agent);
        self.calls
            .spawn(async move { CallOutcome::Renewal(agent.renew(&body).await) });
    }

    fn renew_body(&self) -> RenewBody {
        let latest_answer = &self.context.latest_answer;
        RenewBody {
            epoch: self.context.renewal_right.epoch(),
            worker_incarnation: latest_answer.get().map(|answer| answer.incarnation),
            lease_until_ms: latest_answer
                .next_lease_until_ms(self.context.lease)
                .unwrap_or(0),
            attempts: self.renewed_attempts.iter().cloned().collect(),
        }
    }

    async fn report(&self, inventory: Result<Inventory, CallError>) -> Result<(), ()> {
        if let Ok(inventory) = &inventory {
            self.context.latest_answer.set(WorkerAnswer {
                at_ms: self.context.clock.monotonic_ms(),
                worker_now_ms: inventory.now_ms,
                incarnation: inventory.incarnation,
            });
        }
        let report = WorkerReport {
            worker: self.context.worker.clone(),
            inventory,
        };
        self.context.reports.send(report).await.map_err(|_| ())
    }
}
