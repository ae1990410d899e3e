use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_borders::hosts::HostSnapshot;
use dotterelhook_state::config::ConfigState;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardState;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::RunId;
use dotterelhook_types::ids::WorkerId;
use dotterelhook_types::sizes::Resources;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::ShardContext;
use super::append_task::AppendResult;
use super::append_task::spawn_append;
use super::appender::Appender;
use super::departures::Departure;
use super::departures::RelocationResult;
use super::interference_monitor::InterferenceMonitor;
use super::pending_replies::PendingReplies;
use super::stream_reader::StreamReader;
use super::stream_reader::StreamUpdate;
use crate::evacuation::EvacuationMonitor;
use crate::evacuation::StartGate;
use crate::placement::ObservedSizes;
use crate::placement::Placer;
use crate::run_commands::ShardCommand;
use crate::worker::LatestAnswer;
use crate::worker::RenewalRight;
use crate::worker::WorkerHandle;
use crate::worker::WorkerReport;

const COMMAND_QUEUE_MAX: usize = 1_024;
const REPORT_QUEUE_MAX: usize = 1_024;
const APPEND_RESULT_QUEUE_MAX: usize = 4;
const EVENTS_PER_BATCH_MAX: usize = 2_000;
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of one shard's task; most fields below `appender` matter to an owner only.
pub(super) struct ShardTask {
    pub(super) context: ShardContext,
    pub(super) state: ShardState,
    pub(super) appender: Appender,
    pub(super) renewal_right: Option<Arc<RenewalRight>>,
    pub(super) workers: BTreeMap<WorkerId, WorkerHandle>,
    pub(super) latest_answers: BTreeMap<WorkerId, Arc<LatestAnswer>>,
    pub(super) inventories: BTreeMap<WorkerId, (Incarnation, Resources)>,
    pub(super) applied_hosts: Option<Arc<HostSnapshot>>,
    pub(super) leaving_workers: BTreeSet<WorkerId>,
    /// Workers with a task that the host list no longer contains; they still have open attempts.
    pub(super) unlisted_workers: BTreeSet<WorkerId>,
    pub(super) silent_since_unix_ms: BTreeMap<WorkerId, u64>,
    pub(super) cool_off_until_ms: BTreeMap<WorkerId, u64>,
    pub(super) reports: mpsc::Sender<WorkerReport>,
    pub(super) queued_ends: VecDeque<ShardEvent>,
    pub(super) queued_requests: VecDeque<ShardEvent>,
    pub(super) attempts_with_queued_end: BTreeSet<AttemptId>,
    pub(super) replies: PendingReplies,
    pub(super) owned_since_ms: u64,
    pub(super) last_log_contact_ms: u64,
    pub(super) claim_not_before_ms: u64,
    pub(super) last_snapshot_at_ms: u64,
    pub(super) last_snapshot_offset: Offset,
    pub(super) workers_changed: bool,
    pub(super) has_caught_up: bool,
    pub(super) is_releasing: bool,
    pub(super) placer: Box<dyn Placer>,
    pub(super) observed_sizes: ObservedSizes,
    pub(super) applied_config: Option<Arc<ConfigState>>,
    pub(super) evicting: BTreeSet<AttemptId>,
    pub(super) interference: InterferenceMonitor,
    pub(super) placement_wait_reasons: BTreeMap<RunId, Box<str>>,
    pub(super) start_gate: Arc<StartGate>,
    pub(super) evacuation: EvacuationMonitor,
    pub(super) departure: Option<Departure>,
    pub(super) last_probed: Option<RunId>,
    pub(super) next_probe_ms: u64,
    /// Runs that are being handed over to another failure domain.
    pub(super) deliveries: BTreeSet<RunId>,
    pub(super) relocations: JoinSet<RelocationResult>,
    pub(super) queued_moves: VecDeque<ShardEvent>,
    results: mpsc::Sender<AppendResult>,
}

/// Returns the command channel of one shard's task and its future, which the caller must spawn.
pub fn new_shard_task(
    context: ShardContext,
    stopping: CancellationToken,
) -> (
    mpsc::Sender<ShardCommand>,
    impl Future<Output = ()> + Send + 'static,
) {
    let (commands, received) = mpsc::channel(COMMAND_QUEUE_MAX);
    let (reports, received_reports) = mpsc::channel(REPORT_QUEUE_MAX);
    let (results, received_results) = mpsc::channel(APPEND_RESULT_QUEUE_MAX);
    let placer = (context.create_placer)();
    let controller = (context.create_controller)();
    let start_gate = StartGate::new(
        Arc::clone(&context.config),
        context.shard.failure_domain.clone(),
        context.view_age_max,
    );
    let task = ShardTask {
        appender: Appender::new(context.host.clone(), context.incarnation),
        context,
        state: ShardState::default(),
        renewal_right: None,
        workers: BTreeMap::new(),
        latest_answers: BTreeMap::new(),
        inventories: BTreeMap::new(),
        applied_hosts: None,
        leaving_workers: BTreeSet::new(),
        unlisted_workers: BTreeSet::new(),
        silent_since_unix_ms: BTreeMap::new(),
        cool_off_until_ms: BTreeMap::new(),
        reports,
        queued_ends: VecDeque::new(),
        queued_requests: VecDeque::new(),
        attempts_with_queued_end: BTreeSet::new(),
        replies: PendingReplies::default(),
        owned_since_ms: 0,
        last_log_contact_ms: 0,
        claim_not_before_ms: 0,
        last_snapshot_at_ms: 0,
        last_snapshot_offset: Offset(0),
        workers_changed: false,
        has_caught_up: false,
        is_releasing: false,
        placer,
        observed_sizes: ObservedSizes::default(),
        applied_config: None,
        evicting: BTreeSet::new(),
        interference: InterferenceMonitor::new(controller),
        placement_wait_reasons: BTreeMap::new(),
        start_gate: Arc::new(start_gate),
        evacuation: EvacuationMonitor::default(),
        departure: None,
        last_probed: None,
        next_probe_ms: 0,
        deliveries: BTreeSet::new(),
        relocations: JoinSet::new(),
        queued_moves: VecDeque::new(),
        results,
    };
    let inputs = Inputs {
        commands: received,
        reports: received_reports,
        results: received_results,
    };
    (commands, task.run(inputs, stopping))
}

struct Inputs {
    commands: mpsc::Receiver<ShardCommand>,
    reports: mpsc::Receiver<WorkerReport>,
    results: mpsc::Receiver<AppendResult>,
}

impl ShardTask {
    async fn run(mut self, mut inputs: Inputs, stopping: CancellationToken) {
        let reader = StreamReader {
            log: Arc::clone(&self.context.log),
            clock: Arc::clone(&self.context.clock),
            stream: self.context.shard.stream().into(),
        };
        let (mut updates, mut reader) = reader.spawn();
        let mut commit_timer = tokio::time::interval(self.context.commit_interval);
        commit_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stopping.cancelled() => break,
                Err(error) = &mut reader => {
                    // Without its reader this task would wait for the log for good.
                    panic!("the reader of {} ended: {error}", self.context.shard);
                }
                Some(update) = updates.recv() => self.apply_update(update),
                Some(result) = inputs.results.recv() => self.handle_append_result(&result),
                _ = commit_timer.tick() => self.on_commit_tick(),
                Some(Ok(result)) = self.relocations.join_next() => self.handle_relocation(result),
                Some(report) = inputs.reports.recv() => self.handle_report(report),
                Some(command) = inputs.commands.recv() => self.handle_command(command),
            }
        }
        let timeout = RELEASE_TIMEOUT;
        if tokio::time::timeout(timeout, self.release(&mut updates, &mut inputs))
            .await
            .is_err()
        {
            warn!(
                "shard: {} was not released before the timeout",
                self.context.shard
            );
        }
        reader.abort();
    }

    async fn release(&mut self, updates: &mut mpsc::Receiver<StreamUpdate>, inputs: &mut Inputs) {
        self.begin_release();
        while !self.advance_release() {
            tokio::select! {
                biased;
                Some(update) = updates.recv() => self.apply_update(update),
                Some(result) = inputs.results.recv() => self.handle_append_result(&result),
                Some(command) = inputs.commands.recv() => self.handle_command(command),
                () = tokio::time::sleep(self.context.commit_interval) => {}
            }
        }
        info!("shard: released {}", self.context.shard);
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.context.clock.monotonic_ms()
    }

    fn apply_update(&mut self, update: StreamUpdate) {
        match update {
            StreamUpdate::Page {
                requested_at_ms,
                page,
            } => self.apply_page(requested_at_ms, &page),
            StreamUpdate::Snapshot(state) if state.next_offset() > self.state.next_offset() => {
                self.last_snapshot_offset = state.next_offset();
                self.state = *state;
                if self.renewal_right.is_some() {
                    self.rebuild_derived_state();
                }
                // The next pages show whether this process still owns the shard.
                self.has_caught_up = false;
            }
            StreamUpdate::Snapshot(_) => {}
        }
    }

    fn handle_append_result(&mut self, result: &AppendResult) {
        if let Err(error) = result {
            warn!("shard: append to {} failed: {error}", self.context.shard);
            self.context.metrics.failed_appends.inc();
        }
        self.appender.finish_append(result.is_ok(), self.now_ms());
    }

    fn on_commit_tick(&mut self) {
        if self.renewal_right.is_some() {
            self.sync_worker_tasks();
            self.queue_lost_attempts();
            self.apply_interference_actions();
            self.observe_evacuation();
            self.advance_departures();
        }
        if !self.appender.has_batch() {
            self.assemble_batch();
        }
        self.append_if_due();
    }

    fn observe_evacuation(&mut self) {
        let context = &self.context;
        self.evacuation.observe(
            &context.shard,
            &self.start_gate,
            &self.state,
            &context.metrics,
        );
    }

    /// Appends the batch if an append is due: the first one, or a retry.
    pub(super) fn append_if_due(&mut self) {
        let now_ms = self.now_ms();
        let Some(batch) = self.appender.begin_append(now_ms) else {
            return;
        };
        self.context.metrics.appends.inc();
        let log = Arc::clone(&self.context.log);
        let stream = self.context.shard.stream().into();
        spawn_append(log, stream, batch, self.results.clone());
    }

    /// Assembles the next batch, or a claim if this process is not the owner.
    ///
    /// Ends come first, then requests, then starts. Each of the three is limited, so none can
    /// starve the others.
    fn assemble_batch(&mut self) {
        if self.renewal_right.is_none() {
            self.claim_if_due();
            return;
        }
        let mut events = self.worker_change_events();
        drain_front(&mut self.queued_ends, &mut events);
        drain_front(&mut self.queued_moves, &mut events);
        drain_front(&mut self.queued_requests, &mut events);
        events.extend(self.overdue_events());
        events.extend(self.never_runnable_events());
        events.extend(self.crash_loop_events());
        events.extend(self.place_tasks());
        self.appender.set_batch(self.state.epoch(), events);
        self.snapshot_if_due();
    }
}

fn drain_front(queue: &mut VecDeque<ShardEvent>, events: &mut Vec<ShardEvent>) {
    let count = queue.len().min(EVENTS_PER_BATCH_MAX);
    events.extend(queue.drain(..count));
}
