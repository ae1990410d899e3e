use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_peer::hosts::HostView;
use dotterelhook_peer::membership::MembershipView;
use dotterelhook_peer::membership::Role;
use dotterelhook_platform::clock::Clock;
use dotterelhook_platform::hosts::HostState;
use dotterelhook_platform::hosts::WorkerEntry;
use dotterelhook_platform::log::Log;
use dotterelhook_platform::log::LogPage;
use dotterelhook_platform::worker::AttemptReport;
use dotterelhook_platform::worker::AttemptStatus;
use dotterelhook_platform::worker::Inventory;
use dotterelhook_platform::worker::StartBody;
use dotterelhook_platform::worker::WorkerAgents;
use dotterelhook_state::shard::AttemptEnd;
use dotterelhook_state::shard::RunStatus;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardId;
use dotterelhook_state::shard::ShardRefusal;
use dotterelhook_state::shard::ShardState;
use dotterelhook_state::shard::TaskState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use rapidhash::v3::rapidhash_v3;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::appender::Appender;
use super::reader::spawn_reader;
use crate::placement::PlacementPolicy;
use crate::run_board::ShardCommand;
use crate::run_board::SubmitError;
use crate::worker::WorkerCommand;
use crate::worker::WorkerHandle;
use crate::worker::WorkerReport;
use crate::worker::spawn_worker_task;

const COMMANDS_MAX: usize = 1_024;
const REPORTS_MAX: usize = 1_024;
const STARTS_PER_BATCH_MAX: usize = 500;
const CLAIM_PAUSE: Duration = Duration::from_secs(2);

/// What a shard's task works with.
pub(crate) struct ShardContext {
    pub(crate) shard: ShardId,
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) shard_count: u32,
    pub(crate) lease: Duration,
    pub(crate) commit_interval: Duration,
    pub(crate) log: Arc<dyn Log>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) hosts: Arc<dyn HostView>,
    pub(crate) membership: Arc<dyn MembershipView>,
    pub(crate) agents: Arc<dyn WorkerAgents>,
    pub(crate) placement: Arc<dyn PlacementPolicy>,
}

type Reply = oneshot::Sender<Result<(), SubmitError>>;

/// A submitter or canceller who waits for a record to be read back.
struct Waiter {
    run: RunId,
    is_cancel: bool,
    reply: Reply,
}

struct ShardTask {
    context: ShardContext,
    state: ShardState,
    appender: Appender,
    workers: BTreeMap<WorkerId, WorkerHandle>,
    reports: mpsc::Sender<WorkerReport>,
    events: Vec<ShardEvent>,
    proposed_ends: BTreeSet<AttemptId>,
    waiters: Vec<Waiter>,
    claim_not_before_ms: u64,
    has_caught_up: bool,
}

/// Starts the task of one shard and returns its command channel.
pub(crate) fn spawn_shard_task(
    context: ShardContext,
    stopping: CancellationToken,
) -> (
    mpsc::Sender<ShardCommand>,
    impl Future<Output = ()> + Send + 'static,
) {
    let (commands, received) = mpsc::channel(COMMANDS_MAX);
    let (reports, received_reports) = mpsc::channel(REPORTS_MAX);
    let stream: Box<str> = context.shard.stream().into();
    let task = ShardTask {
        appender: Appender::new(stream, context.host.clone(), context.incarnation),
        context,
        state: ShardState::default(),
        workers: BTreeMap::new(),
        reports,
        events: Vec::new(),
        proposed_ends: BTreeSet::new(),
        waiters: Vec::new(),
        claim_not_before_ms: 0,
        has_caught_up: false,
    };
    (commands, task.run(received, received_reports, stopping))
}

impl ShardTask {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<ShardCommand>,
        mut reports: mpsc::Receiver<WorkerReport>,
        stopping: CancellationToken,
    ) {
        let stream = self.context.shard.stream().into();
        let (mut pages, reader) = spawn_reader(Arc::clone(&self.context.log), stream);
        let mut commit = tokio::time::interval(self.context.commit_interval);
        commit.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stopping.cancelled() => break,
                Some(page) = pages.recv() => self.apply_page(page),
                Some(command) = commands.recv() => self.take_command(command),
                Some(report) = reports.recv() => self.take_report(report),
                _ = commit.tick() => self.commit().await,
            }
        }
        reader.abort();
        self.release().await;
    }

    fn is_owner(&self) -> bool {
        self.state.owner().is_some_and(|owner| {
            owner.host == self.context.host && owner.incarnation == self.context.incarnation
        })
    }

    fn apply_page(&mut self, page: LogPage) {
        let was_owner = self.is_owner();
        for record in &page.records {
            let result = self.state.apply(record.offset, &record.payload);
            self.observe(record.offset, &record.payload, result);
        }
        self.has_caught_up = self.state.next_offset() >= page.end_offset;
        match (was_owner, self.is_owner()) {
            (false, true) => info!("shard: {} is owned here now", self.context.shard),
            (true, false) => self.lose_ownership(),
            _ => {}
        }
    }

    /// Reacts to a record that was read back.
    fn observe(&mut self, offset: Offset, payload: &str, result: Result<(), ShardRefusal>) {
        let Ok(record) = serde_json::from_str::<dotterelhook_state::shard::ShardRecord>(payload)
        else {
            warn!("shard: record {offset} is malformed");
            return;
        };
        let is_own =
            record.host == self.context.host && record.incarnation == self.context.incarnation;
        if !is_own {
            return;
        }
        self.appender.confirm(record.sequence);
        if let Err(refusal) = result
            && refusal != ShardRefusal::Repeated
        {
            let kind: &'static str = (&record.event).into();
            warn!("shard: own record {offset} ({kind}) was refused: {refusal}");
        }
        match record.event {
            ShardEvent::Submit { run, .. } => self.reply(&run, false, result),
            ShardEvent::Cancel { run } => self.reply(&run, true, result),
            ShardEvent::Start {
                attempt, worker, ..
            } if result.is_ok() => {
                self.start(&attempt, &worker);
            }
            ShardEvent::End { attempt, .. } => self.forget(&attempt),
            _ => {}
        }
    }

    fn reply(&mut self, run: &RunId, is_cancel: bool, result: Result<(), ShardRefusal>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if waiter.run == *run && waiter.is_cancel == is_cancel {
                let _ = waiter.reply.send(result.map_err(SubmitError::Refused));
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    fn start(&self, attempt: &AttemptId, worker: &WorkerId) {
        let Some(handle) = self.workers.get(worker) else {
            return;
        };
        if let Some(body) = self.start_body(attempt, worker) {
            handle.send(WorkerCommand::Start(attempt.clone(), body));
        }
    }

    fn start_body(&self, attempt: &AttemptId, worker: &WorkerId) -> Option<StartBody> {
        let run = self.state.runs().get(&attempt.task.run)?;
        let TaskState::Open { checkpoint, .. } = run.tasks.get(attempt.task.index as usize)? else {
            return None;
        };
        Some(StartBody {
            size: self.state.open_attempts().get(attempt)?.size,
            lease_ms: self.context.lease.as_millis() as u64,
            run_time_ms: run.spec.settings.run_time_ms,
            checkpoint: checkpoint.clone(),
            worker_incarnation: self.state.workers().get(worker)?.incarnation,
        })
    }

    fn forget(&mut self, attempt: &AttemptId) {
        self.proposed_ends.remove(attempt);
        for handle in self.workers.values() {
            handle.send(WorkerCommand::Forget(attempt.clone()));
        }
    }

    fn lose_ownership(&mut self) {
        warn!("shard: {} was taken over", self.context.shard);
        self.workers.clear();
        self.events.clear();
        self.proposed_ends.clear();
        self.appender.abandon();
        for waiter in self.waiters.drain(..) {
            let _ = waiter.reply.send(Err(SubmitError::Unknown));
        }
    }

    fn take_command(&mut self, command: ShardCommand) {
        match command {
            ShardCommand::Ledger { reply } => {
                let lines = if self.is_owner() {
                    self.state.ledger()
                } else {
                    Vec::new()
                };
                let _ = reply.send(lines);
            }
            ShardCommand::Submit { reply, .. } | ShardCommand::Cancel { reply, .. }
                if !self.is_owner() =>
            {
                let _ = reply.send(Err(SubmitError::NotOwner));
            }
            ShardCommand::Submit { run, spec, reply } => {
                self.waiters.push(Waiter {
                    run: run.clone(),
                    is_cancel: false,
                    reply,
                });
                self.events.push(ShardEvent::Submit { run, spec });
            }
            ShardCommand::Cancel { run, reply } => {
                self.waiters.push(Waiter {
                    run: run.clone(),
                    is_cancel: true,
                    reply,
                });
                self.events.push(ShardEvent::Cancel { run });
            }
        }
    }

    fn take_report(&mut self, report: WorkerReport) {
        match report.inventory {
            Ok(inventory) if self.is_owner() => self.take_inventory(&inventory),
            Ok(_) => {}
            Err(error) => warn!("shard: worker {} is unreachable: {error}", report.worker),
        }
    }

    fn take_inventory(&mut self, inventory: &Inventory) {
        let account = self.state.workers().get(&inventory.worker);
        let is_recorded = account.is_some_and(|account| {
            account.incarnation == inventory.incarnation && account.capacity == inventory.capacity
        });
        let has_restarted =
            account.is_some_and(|account| account.incarnation != inventory.incarnation);
        if !is_recorded {
            self.events.push(ShardEvent::Worker {
                worker: inventory.worker.clone(),
                incarnation: inventory.incarnation,
                capacity: inventory.capacity,
            });
        }
        let reports: BTreeMap<&AttemptId, &AttemptReport> = inventory
            .attempts
            .iter()
            .map(|report| (&report.attempt, report))
            .collect();
        let open = self.state.open_attempts().iter();
        let here: Vec<AttemptId> = open
            .filter(|(_, open)| open.worker == inventory.worker)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in here {
            match reports.get(&attempt) {
                Some(report) => self.take_attempt_report(&inventory.worker, report),
                None if has_restarted => self.propose_end(attempt, AttemptEnd::Lost),
                None if is_recorded => self.start(&attempt, &inventory.worker),
                None => {}
            }
        }
    }

    fn take_attempt_report(&mut self, worker: &WorkerId, report: &AttemptReport) {
        let attempt = report.attempt.clone();
        let end = match report.status {
            AttemptStatus::Running => {
                let run = self.state.runs().get(&attempt.task.run);
                let is_active = run.is_some_and(|run| run.status == RunStatus::Active);
                let command = if is_active {
                    WorkerCommand::Keep
                } else {
                    WorkerCommand::Stop
                };
                if let Some(handle) = self.workers.get(worker) {
                    handle.send(command(attempt));
                }
                return;
            }
            AttemptStatus::Succeeded => AttemptEnd::Succeeded,
            AttemptStatus::Failed => {
                let cause = report.cause.clone();
                AttemptEnd::Failed {
                    cause: cause.unwrap_or_else(|| "no cause given".into()),
                }
            }
            AttemptStatus::Stopped | AttemptStatus::Lapsed => AttemptEnd::Evicted {
                checkpoint: report.checkpoint.clone(),
            },
        };
        self.propose_end(attempt, end);
    }

    fn propose_end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        if self.proposed_ends.insert(attempt.clone()) {
            self.events.push(ShardEvent::End { attempt, end });
        }
    }

    async fn commit(&mut self) {
        if !self.appender.is_busy() {
            self.fill_batch();
        }
        if self.appender.is_busy() {
            self.appender.append(&*self.context.log).await;
        }
    }

    fn fill_batch(&mut self) {
        if !self.is_owner() {
            self.claim_if_due();
            return;
        }
        self.refresh_workers();
        self.propose_overdue();
        self.propose_starts();
        let events = std::mem::take(&mut self.events);
        self.appender.set_batch(self.state.epoch(), events);
    }

    /// Claims a shard whose owner is gone, if this host comes first among the live ones.
    fn claim_if_due(&mut self) {
        let now_ms = self.context.clock.monotonic_ms();
        if !self.has_caught_up || now_ms < self.claim_not_before_ms {
            return;
        }
        let peers = self.context.membership.live_peers(Role::Scheduler);
        let owner_lives = self.state.owner().is_some_and(|owner| {
            peers.iter().any(|peer| {
                peer.heartbeat.member.host == owner.host
                    && peer.heartbeat.incarnation == owner.incarnation
            })
        });
        let hosts = peers.iter().map(|peer| &peer.heartbeat.member.host);
        let preferred = hosts.max_by_key(|host| self.rank(host));
        if owner_lives || preferred != Some(&self.context.host) {
            return;
        }
        self.claim_not_before_ms = now_ms + CLAIM_PAUSE.as_millis() as u64;
        self.appender
            .set_batch(self.state.epoch().next(), vec![ShardEvent::Claim]);
    }

    fn rank(&self, host: &HostId) -> u64 {
        rapidhash_v3(format!("{}@{host}", self.context.shard).as_bytes())
    }

    fn refresh_workers(&mut self) {
        let hosts = self.context.hosts.current();
        for entry in &hosts.workers {
            if self.is_own_worker(entry) && !self.workers.contains_key(&entry.worker) {
                let handle = self.spawn_worker(entry);
                self.workers.insert(entry.worker.clone(), handle);
            }
        }
    }

    fn is_own_worker(&self, entry: &WorkerEntry) -> bool {
        let rack_hash = rapidhash_v3(entry.rack.as_str().as_bytes());
        entry.failure_domain == self.context.shard.failure_domain
            && rack_hash % u64::from(self.context.shard_count)
                == u64::from(self.context.shard.index)
    }

    fn spawn_worker(&self, entry: &WorkerEntry) -> WorkerHandle {
        let sender = format!("{}.{}", self.context.host, self.context.incarnation);
        spawn_worker_task(
            entry.worker.clone(),
            sender.into(),
            self.context.agents.agent(entry.address),
            self.context.lease,
            self.reports.clone(),
        )
    }

    fn propose_overdue(&mut self) {
        let now_ms = self.context.clock.unix_ms();
        for (id, run) in self.state.runs() {
            let is_late = now_ms > run.spec.deadline_at_unix_ms;
            if run.status == RunStatus::Active && is_late && !run.is_overdue {
                warn!("shard: run {id} is overdue");
                self.events.push(ShardEvent::Overdue { run: id.clone() });
            }
        }
    }

    fn propose_starts(&mut self) {
        let hosts = self.context.hosts.current();
        let leaving: BTreeSet<&WorkerId> = hosts
            .workers
            .iter()
            .filter(|entry| entry.state == HostState::Leaving)
            .map(|entry| &entry.worker)
            .collect();
        let usable = |id: &WorkerId| self.workers.contains_key(id) && !leaving.contains(id);
        let proposals = self
            .context
            .placement
            .propose(&self.state, &usable, STARTS_PER_BATCH_MAX);
        self.events
            .extend(proposals.into_iter().map(|proposal| ShardEvent::Start {
                attempt: proposal.attempt,
                worker: proposal.worker,
                size: proposal.size,
            }));
    }

    /// Gives the shard up on a planned stop; running attempts keep their leases.
    async fn release(&mut self) {
        if !self.is_owner() {
            return;
        }
        self.appender
            .set_batch(self.state.epoch(), vec![ShardEvent::Release]);
        self.appender.append(&*self.context.log).await;
        info!("shard: {} released", self.context.shard);
    }
}
