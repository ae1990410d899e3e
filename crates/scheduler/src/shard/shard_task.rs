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
use tokio_util::sync::CancellationToken;

use super::ShardContext;
use super::append_task::AppendResult;
use super::append_task::spawn_append;
use super::appender::Appender;
use super::interference_watch::InterferenceWatch;
use super::reader::Feed;
use super::reader::Reader;
use super::waiters::Waiters;
use crate::placement::ObservedSizes;
use crate::placement::Placer;
use crate::run_ledger::ShardCommand;
use crate::worker::Contact;
use crate::worker::RenewalRight;
use crate::worker::WorkerHandle;
use crate::worker::WorkerReport;

const COMMANDS_MAX: usize = 1_024;
const REPORTS_MAX: usize = 1_024;
const RESULTS_MAX: usize = 4;
const EVENTS_PER_BATCH_MAX: usize = 2_000;
const RELEASE_MAX: Duration = Duration::from_secs(5);

/// What a shard's task holds; the fields below `appender` matter to an owner only.
pub(super) struct ShardTask {
    pub(super) context: ShardContext,
    pub(super) state: ShardState,
    pub(super) appender: Appender,
    pub(super) right: Option<Arc<RenewalRight>>,
    pub(super) workers: BTreeMap<WorkerId, WorkerHandle>,
    pub(super) contacts: BTreeMap<WorkerId, Arc<Contact>>,
    pub(super) inventories: BTreeMap<WorkerId, (Incarnation, Resources)>,
    pub(super) seen_hosts: Option<Arc<HostSnapshot>>,
    pub(super) leaving: BTreeSet<WorkerId>,
    pub(super) silent_since_unix_ms: BTreeMap<WorkerId, u64>,
    pub(super) cool_off_until_ms: BTreeMap<WorkerId, u64>,
    pub(super) reports: mpsc::Sender<WorkerReport>,
    pub(super) ends: VecDeque<ShardEvent>,
    pub(super) asked: VecDeque<ShardEvent>,
    pub(super) proposed_ends: BTreeSet<AttemptId>,
    pub(super) waiters: Waiters,
    pub(super) owned_since_ms: u64,
    pub(super) log_contact_ms: u64,
    pub(super) claim_not_before_ms: u64,
    pub(super) snapshot_at_ms: u64,
    pub(super) snapshot_offset: Offset,
    pub(super) workers_changed: bool,
    pub(super) has_caught_up: bool,
    pub(super) is_releasing: bool,
    pub(super) placer: Box<dyn Placer>,
    pub(super) observed_sizes: ObservedSizes,
    pub(super) seen_config: Option<Arc<ConfigState>>,
    pub(super) evicting: BTreeSet<AttemptId>,
    pub(super) interference: InterferenceWatch,
    pub(super) placement_waits: BTreeMap<RunId, Box<str>>,
    results: mpsc::Sender<AppendResult>,
}

/// Returns the command channel of one shard's task and the task, which is not running yet.
pub fn spawn_shard_task(
    context: ShardContext,
    stopping: CancellationToken,
) -> (
    mpsc::Sender<ShardCommand>,
    impl Future<Output = ()> + Send + 'static,
) {
    let (commands, received) = mpsc::channel(COMMANDS_MAX);
    let (reports, received_reports) = mpsc::channel(REPORTS_MAX);
    let (results, received_results) = mpsc::channel(RESULTS_MAX);
    let placer = (context.new_placer)();
    let controller = (context.new_controller)();
    let task = ShardTask {
        appender: Appender::new(context.host.clone(), context.incarnation),
        context,
        state: ShardState::default(),
        right: None,
        workers: BTreeMap::new(),
        contacts: BTreeMap::new(),
        inventories: BTreeMap::new(),
        seen_hosts: None,
        leaving: BTreeSet::new(),
        silent_since_unix_ms: BTreeMap::new(),
        cool_off_until_ms: BTreeMap::new(),
        reports,
        ends: VecDeque::new(),
        asked: VecDeque::new(),
        proposed_ends: BTreeSet::new(),
        waiters: Waiters::default(),
        owned_since_ms: 0,
        log_contact_ms: 0,
        claim_not_before_ms: 0,
        snapshot_at_ms: 0,
        snapshot_offset: Offset(0),
        workers_changed: false,
        has_caught_up: false,
        is_releasing: false,
        placer,
        observed_sizes: ObservedSizes::default(),
        seen_config: None,
        evicting: BTreeSet::new(),
        interference: InterferenceWatch::new(controller),
        placement_waits: BTreeMap::new(),
        results,
    };
    let inputs = Inputs {
        commands: received,
        reports: received_reports,
        results: received_results,
    };
    (commands, task.run(inputs, stopping))
}

/// Where a shard's task gets its messages from.
struct Inputs {
    commands: mpsc::Receiver<ShardCommand>,
    reports: mpsc::Receiver<WorkerReport>,
    results: mpsc::Receiver<AppendResult>,
}

impl ShardTask {
    async fn run(mut self, mut inputs: Inputs, stopping: CancellationToken) {
        let reader = Reader {
            log: Arc::clone(&self.context.log),
            clock: Arc::clone(&self.context.clock),
            stream: self.context.shard.stream().into(),
        };
        let (mut feeds, reader) = reader.spawn();
        let mut commit = tokio::time::interval(self.context.commit_interval);
        commit.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stopping.cancelled() => break,
                Some(feed) = feeds.recv() => self.take_feed(feed),
                Some(result) = inputs.results.recv() => self.take_result(&result),
                _ = commit.tick() => self.commit(),
                Some(report) = inputs.reports.recv() => self.take_report(report),
                Some(command) = inputs.commands.recv() => self.take_command(command),
            }
        }
        let limit = RELEASE_MAX;
        if tokio::time::timeout(limit, self.release(&mut feeds, &mut inputs))
            .await
            .is_err()
        {
            warn!("shard: {} was not released in time", self.context.shard);
        }
        reader.abort();
    }

    async fn release(&mut self, feeds: &mut mpsc::Receiver<Feed>, inputs: &mut Inputs) {
        self.begin_release();
        while !self.release_step() {
            tokio::select! {
                biased;
                Some(feed) = feeds.recv() => self.take_feed(feed),
                Some(result) = inputs.results.recv() => self.take_result(&result),
                Some(command) = inputs.commands.recv() => self.take_command(command),
                () = tokio::time::sleep(self.context.commit_interval) => {}
            }
        }
        info!("shard: {} is released", self.context.shard);
    }

    /// Returns the time of the monotonic clock.
    pub(super) fn now_ms(&self) -> u64 {
        self.context.clock.monotonic_ms()
    }

    fn take_feed(&mut self, feed: Feed) {
        match feed {
            Feed::Page { asked_at_ms, page } => self.apply_page(asked_at_ms, &page),
            Feed::Snapshot(state) if state.next_offset() > self.state.next_offset() => {
                self.snapshot_offset = state.next_offset();
                self.state = *state;
                if self.right.is_some() {
                    self.rebuild_followers();
                }
                // The pages that follow say whether this process still owns the shard.
                self.has_caught_up = false;
            }
            Feed::Snapshot(_) => {}
        }
    }

    fn take_result(&mut self, result: &AppendResult) {
        if let Err(error) = result {
            warn!("shard: append to {} failed: {error}", self.context.shard);
            self.context.metrics.failed_appends.inc();
        }
        self.appender.note_result(result.is_ok(), self.now_ms());
    }

    fn commit(&mut self) {
        if self.right.is_some() {
            self.refresh_workers();
            self.give_up_silent();
            self.protect_services();
        }
        if !self.appender.is_busy() {
            self.fill_batch();
        }
        self.append_if_due();
    }

    /// Appends the batch, or appends it again after a failure.
    pub(super) fn append_if_due(&mut self) {
        let now_ms = self.now_ms();
        let Some(batch) = self.appender.take_due(now_ms) else {
            return;
        };
        self.context.metrics.appends.inc();
        let log = Arc::clone(&self.context.log);
        let stream = self.context.shard.stream().into();
        spawn_append(log, stream, batch, self.results.clone());
    }

    /// Ends come first, then what was asked, then new starts: none can keep the others out.
    fn fill_batch(&mut self) {
        if self.right.is_none() {
            self.claim_if_due();
            return;
        }
        let mut events = self.worker_events();
        take_front(&mut self.ends, &mut events);
        take_front(&mut self.asked, &mut events);
        events.extend(self.overdue_events());
        events.extend(self.never_runs_events());
        events.extend(self.place());
        self.appender.set_batch(self.state.epoch(), events);
        self.snapshot_if_due();
    }
}

fn take_front(queue: &mut VecDeque<ShardEvent>, events: &mut Vec<ShardEvent>) {
    let count = queue.len().min(EVENTS_PER_BATCH_MAX);
    events.extend(queue.drain(..count));
}
