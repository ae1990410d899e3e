use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_platform::worker::Inventory;
use dotterelhook_platform::worker::RenewBody;
use dotterelhook_platform::worker::StartBody;
use dotterelhook_platform::worker::WorkerAgent;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::WorkerId;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const COMMANDS_MAX: usize = 4_096;

/// What the shard asks of a worker's task.
#[derive(Debug)]
pub(crate) enum WorkerCommand {
    /// Start a recorded attempt and keep its lease.
    Start(AttemptId, StartBody),
    /// Keep the lease of an attempt that may run already.
    Keep(AttemptId),
    /// Stop an attempt.
    Stop(AttemptId),
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

/// A running worker task; it ends when the handle is dropped.
#[derive(Debug)]
pub(crate) struct WorkerHandle {
    commands: mpsc::Sender<WorkerCommand>,
    task: JoinHandle<()>,
}

impl WorkerHandle {
    /// Hands a command over; one that finds no room is repeated by the next report.
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
pub(crate) fn spawn_worker_task(
    worker: WorkerId,
    sender_name: Box<str>,
    agent: Arc<dyn WorkerAgent>,
    lease: Duration,
    reports: mpsc::Sender<WorkerReport>,
) -> WorkerHandle {
    let (commands, received) = mpsc::channel(COMMANDS_MAX);
    let task = WorkerTask {
        worker,
        sender_name,
        agent,
        lease,
        reports,
        kept: BTreeSet::new(),
        sequence: Sequence(0),
    };
    WorkerHandle {
        commands,
        task: tokio::spawn(task.run(received)),
    }
}

struct WorkerTask {
    worker: WorkerId,
    sender_name: Box<str>,
    agent: Arc<dyn WorkerAgent>,
    lease: Duration,
    reports: mpsc::Sender<WorkerReport>,
    kept: BTreeSet<AttemptId>,
    sequence: Sequence,
}

impl WorkerTask {
    async fn run(mut self, mut commands: mpsc::Receiver<WorkerCommand>) {
        let mut renewal = tokio::time::interval(self.lease / 4);
        renewal.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
                _ = renewal.tick() => {}
            }
            while let Ok(command) = commands.try_recv() {
                self.obey(command).await;
            }
            let inventory = self.renew().await;
            let report = WorkerReport {
                worker: self.worker.clone(),
                inventory,
            };
            if self.reports.send(report).await.is_err() {
                return;
            }
        }
    }

    async fn obey(&mut self, command: WorkerCommand) {
        let result = match command {
            WorkerCommand::Start(attempt, body) => {
                let result = self.agent.start(&attempt, &body).await;
                self.kept.insert(attempt);
                result
            }
            WorkerCommand::Keep(attempt) => {
                self.kept.insert(attempt);
                Ok(())
            }
            WorkerCommand::Stop(attempt) => self.agent.stop(&attempt).await,
            WorkerCommand::Forget(attempt) => {
                self.kept.remove(&attempt);
                self.agent.forget(&attempt).await
            }
        };
        if let Err(error) = result {
            warn!("worker: {} did not obey: {error}", self.worker);
        }
    }

    async fn renew(&mut self) -> Result<Inventory, CallError> {
        self.sequence = self.sequence.next();
        let body = RenewBody {
            sequence: self.sequence,
            sender: self.sender_name.clone(),
            lease_ms: self.lease.as_millis() as u64,
            attempts: self.kept.iter().cloned().collect(),
        };
        self.agent.renew(&body).await
    }
}
