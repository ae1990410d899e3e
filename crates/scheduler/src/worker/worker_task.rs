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

use super::Contact;
use super::RenewalRight;
use super::contact::Answer;

const COMMANDS_MAX: usize = 4_096;
const CALLS_MAX: usize = 32;
const RENEWALS_PER_LEASE: u32 = 4;
const RENEWAL_GAP: Duration = Duration::from_millis(100);

/// What the shard asks of a worker's task.
#[derive(Debug)]
pub(crate) enum WorkerCommand {
    /// Start a recorded attempt and keep its lease.
    Start(AttemptId, StartBody),
    /// Keep the lease of an attempt that runs already.
    Keep(AttemptId),
    /// Stop an attempt.
    Stop(AttemptId, StopBody),
    /// Have an attempt write a checkpoint, then stop it.
    Evict(AttemptId, StopBody),
    /// Limit an attempt to a share of its processor time, in percent.
    Throttle(AttemptId, u32),
    /// The attempt's end is recorded.
    Forget(AttemptId),
}

/// What a worker's task found.
#[derive(Debug)]
pub(crate) struct WorkerReport {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Its inventory, or why there is none.
    pub(crate) inventory: Result<Inventory, CallError>,
}

/// What a worker's task works with.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    /// The worker.
    pub(crate) worker: WorkerId,
    /// Where its agent listens.
    pub(crate) address: SocketAddr,
    /// Its agent.
    pub(crate) agent: Arc<dyn WorkerAgent>,
    /// The time for which a lease is extended.
    pub(crate) lease: Duration,
    /// The time.
    pub(crate) clock: Arc<dyn Clock>,
    /// The owner's right to act.
    pub(crate) right: Arc<RenewalRight>,
    /// What was heard from the worker.
    pub(crate) contact: Arc<Contact>,
    /// Where reports go.
    pub(crate) reports: mpsc::Sender<WorkerReport>,
}

/// A running worker task; it ends when the handle is dropped.
#[derive(Debug)]
pub(crate) struct WorkerHandle {
    address: SocketAddr,
    commands: mpsc::Sender<WorkerCommand>,
    task: JoinHandle<()>,
}

impl WorkerHandle {
    /// Returns where the worker's agent listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands a command over; one that finds no room is repeated after the next report.
    pub(crate) fn send(&self, command: WorkerCommand) {
        let _ = self.commands.try_send(command);
    }
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts the task of one worker.
pub(crate) fn spawn_worker_task(context: WorkerContext) -> WorkerHandle {
    let (commands, received) = mpsc::channel(COMMANDS_MAX);
    let address = context.address;
    let task = WorkerTask {
        context,
        kept: BTreeSet::new(),
        expected_ends: BTreeMap::new(),
        calls: JoinSet::new(),
        next_renewal_at: Instant::now(),
    };
    WorkerHandle {
        address,
        commands,
        task: tokio::spawn(task.run(received)),
    }
}

/// The end of one call to the worker.
enum Called {
    /// A renewal ended.
    Renewed(Result<Inventory, CallError>),
    /// A command ended.
    Obeyed(Result<(), CallError>),
}

struct WorkerTask {
    context: WorkerContext,
    kept: BTreeSet<AttemptId>,
    expected_ends: BTreeMap<AttemptId, Instant>,
    calls: JoinSet<Called>,
    next_renewal_at: Instant,
}

impl WorkerTask {
    /// Calls run beside each other, so that one that hangs holds up no renewal.
    async fn run(mut self, mut commands: mpsc::Receiver<WorkerCommand>) {
        let mut is_renewing = false;
        loop {
            let renewal_due = self.renewal_due();
            let may_call = self.calls.len() < CALLS_MAX;
            tokio::select! {
                biased;
                Some(called) = self.calls.join_next() => match called {
                    Ok(Called::Renewed(result)) => {
                        is_renewing = false;
                        if self.report(result).await.is_err() {
                            return;
                        }
                    }
                    Ok(Called::Obeyed(result)) => self.note_obeyed(result),
                    Err(error) => warn!("worker: a call to {} ended: {error}", self.context.worker),
                },
                command = commands.recv(), if may_call => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
                () = tokio::time::sleep_until(renewal_due), if !is_renewing => {
                    is_renewing = true;
                    self.renew();
                }
            }
        }
    }

    /// Renews on time, and earlier when an attempt should have ended by now.
    fn renewal_due(&self) -> Instant {
        let earliest_end = self.expected_ends.values().min();
        let end = earliest_end.map_or(self.next_renewal_at, |end| *end + RENEWAL_GAP);
        end.min(self.next_renewal_at)
    }

    fn obey(&mut self, command: WorkerCommand) {
        let agent = Arc::clone(&self.context.agent);
        match command {
            WorkerCommand::Start(attempt, body) => self.start(agent, attempt, body),
            WorkerCommand::Keep(attempt) => {
                if self.kept.insert(attempt) {
                    self.renew_soon();
                }
            }
            WorkerCommand::Stop(attempt, body) => {
                let call = async move { Called::Obeyed(agent.stop(&attempt, &body).await) };
                self.calls.spawn(call);
            }
            WorkerCommand::Evict(attempt, body) => {
                self.calls.spawn(async move {
                    // Without a new checkpoint the task resumes from the one before.
                    let _ = agent.checkpoint(&attempt).await;
                    Called::Obeyed(agent.stop(&attempt, &body).await)
                });
            }
            WorkerCommand::Throttle(attempt, cpu_percent) => {
                let call =
                    async move { Called::Obeyed(agent.throttle(&attempt, cpu_percent).await) };
                self.calls.spawn(call);
            }
            WorkerCommand::Forget(attempt) => {
                self.kept.remove(&attempt);
                self.expected_ends.remove(&attempt);
                let call = async move { Called::Obeyed(agent.forget(&attempt).await) };
                self.calls.spawn(call);
            }
        }
    }

    fn start(&mut self, agent: Arc<dyn WorkerAgent>, attempt: AttemptId, body: StartBody) {
        if !self.context.right.is_valid() {
            return;
        }
        let expected_end = Instant::now() + Duration::from_millis(body.run_time_ms);
        self.expected_ends.insert(attempt.clone(), expected_end);
        self.kept.insert(attempt.clone());
        let call = async move { Called::Obeyed(agent.start(&attempt, &body).await) };
        self.calls.spawn(call);
    }

    fn note_obeyed(&mut self, result: Result<(), CallError>) {
        if let Err(error) = result {
            warn!("worker: {} did not obey: {error}", self.context.worker);
            self.renew_soon();
        }
    }

    fn renew_soon(&mut self) {
        self.next_renewal_at = self.next_renewal_at.min(Instant::now() + RENEWAL_GAP);
    }

    fn renew(&mut self) {
        let now = Instant::now();
        self.next_renewal_at = now + self.context.lease / RENEWALS_PER_LEASE;
        self.expected_ends.retain(|_, end| *end > now);
        if !self.context.right.is_valid() {
            let error = CallError::not_run("the right to renew has ended without the log");
            self.calls.spawn(async { Called::Renewed(Err(error)) });
            return;
        }
        let body = self.renewal();
        let agent = Arc::clone(&self.context.agent);
        self.calls
            .spawn(async move { Called::Renewed(agent.renew(&body).await) });
    }

    fn renewal(&self) -> RenewBody {
        let contact = &self.context.contact;
        RenewBody {
            epoch: self.context.right.epoch(),
            worker_incarnation: contact.answer().map(|answer| answer.incarnation),
            lease_until_ms: contact.lease_until_ms(self.context.lease).unwrap_or(0),
            attempts: self.kept.iter().cloned().collect(),
        }
    }

    async fn report(&self, inventory: Result<Inventory, CallError>) -> Result<(), ()> {
        if let Ok(inventory) = &inventory {
            self.context.contact.store(Answer {
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
