use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use dotterelhook_kernel::memory::LastingMemory;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Sequence;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::AnswerTimeout;
use super::MemberName;
use super::OwnerDirectory;
use super::commit_loop::CommitLoop;
use super::evacuation_report::EvacuationReport;
use super::takeover::Takeover;
use super::takeover::take_over;
use super::topics::CANCELLATION_KEY_PREFIX;
use super::topics::job_submission_partition;
use crate::admission::CapacityReport;
use crate::admission::JobRoom;
use crate::cell::CellSettings;
use crate::cell::CellState;
use crate::cell::JobLookup;
use crate::config::ActiveConfig;
use crate::evacuation::OperatorView;
use crate::model::FailureDomainName;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueName;
use crate::observe::Decision;
use crate::observe::JobMetrics;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::OrderError;
use crate::platform::Platform;
use crate::platform::Store;
use crate::platform::StoreError;
use crate::store_access::ChangeFeed;
use crate::store_access::StoreHealth;
use crate::store_access::time_since_boot;

/// The greatest age of the last read of submissions at which an unknown job counts as nonexistent.
const SUBMISSIONS_AGE_MAX: Duration = Duration::from_millis(2_500);
/// The interval in which all hosts of a failure domain get the same capacity report, since each report
/// takes as long as the order of a round.
const CAPACITY_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a failed read.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The interval between two log lines about the load of a cell.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between two reports of the progress of evacuations, which look at all executors.
const EVACUATION_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between two checks of timers.
const TIMER_INTERVAL: Duration = Duration::from_millis(100);

/// The context that all cell owners and the candidate of one process share.
pub struct OwnerContext {
    /// The surrounding platform.
    pub platform: Arc<dyn Platform>,
    /// The platform's store, with its calls tracked.
    pub store: Arc<dyn Store>,
    /// The reachability of the store.
    pub health: Arc<StoreHealth>,
    /// The active configuration.
    pub config: Arc<ActiveConfig>,
    /// The operators' requests.
    pub operators: Arc<OperatorView>,
    /// The owners of all cells.
    pub directory: Arc<OwnerDirectory>,
    /// The settings that are common to all cells.
    pub settings: Arc<CellSettings>,
    /// The identity of this process.
    pub member: MemberName,
    /// The client for calls to other hosts.
    pub peers: Arc<PeerClient>,
    /// The metrics of this process.
    pub metrics: JobMetrics,
    /// The account of the memory that this process has for clients.
    pub memory: Arc<MemoryAccount>,
}

/// The owner of one cell, from its claim until another host replaces it or the process stops.
pub struct CellOwner {
    pub(super) cell: u32,
    pub(super) context: Arc<OwnerContext>,
    state: Mutex<CellState>,
    answer_timeout: Mutex<AnswerTimeout>,
    /// The memory of the cell's jobs in the account of the process.
    kept_jobs: LastingMemory,
    room: Mutex<JobRoom>,
    /// The newest capacity reports by failure domain of entry, each with its time.
    capacity_reports: Mutex<BTreeMap<Option<FailureDomainName>, (Instant, CapacityReport)>>,
    /// The send time of the latest append that the store accepted from this owner, since boot. No other
    /// owner had claimed the cell then.
    confirmed_at: Mutex<Duration>,
    /// Wakes the commit loop: tasks may be placeable or records may be ready to store.
    pub(super) wake: Notify,
    /// Notified after each stored batch.
    pub(super) batch_stored: Notify,
    /// Cancels all background tasks of this owner.
    pub(super) released: CancellationToken,
    /// The start of the last successful read of each submission partition.
    pub(super) submissions_read_at: Mutex<Vec<Instant>>,
}

impl CellOwner {
    /// Claims a cell, restores its state and starts the background tasks.
    ///
    /// # Errors
    /// The store is unreachable, or another host claims the cell at the same time.
    pub async fn claim(context: Arc<OwnerContext>, cell: u32) -> Result<Arc<Self>, StoreError> {
        let started = Instant::now();
        let started_since_boot = time_since_boot();
        let Takeover {
            state,
            submission_feeds,
            next_sequence,
        } = take_over(&context, cell).await?;
        let epoch = state.epoch();
        let jobs = state.ledger().jobs().count();
        let settings = &context.settings;
        let answer_timeout =
            AnswerTimeout::new(settings.order_timeout, settings.order_timeout_max());
        let owner = Arc::new(Self {
            cell,
            state: Mutex::new(state),
            answer_timeout: Mutex::new(answer_timeout),
            kept_jobs: LastingMemory::new(Arc::clone(&context.memory)),
            room: Mutex::new(JobRoom::new(context.memory.lasting_max_bytes())),
            capacity_reports: Mutex::default(),
            confirmed_at: Mutex::new(started_since_boot),
            wake: Notify::new(),
            batch_stored: Notify::new(),
            released: CancellationToken::new(),
            submissions_read_at: Mutex::new(vec![started; submission_feeds.len()]),
            context: Arc::clone(&context),
        });
        context.metrics.takeovers.inc();
        context
            .metrics
            .takeover_seconds
            .observe(started.elapsed().as_secs_f64());
        decided!(Decision::CellClaimed, cell: cell, epoch: epoch, open_jobs: jobs, took_ms: started.elapsed().as_millis());
        owner.count_kept_jobs();
        owner.start(submission_feeds, next_sequence);
        Ok(owner)
    }

    /// Returns the number of the cell, from 0.
    pub fn cell(&self) -> u32 {
        self.cell
    }

    /// Returns the fencing epoch of this owner.
    pub fn epoch(&self) -> Epoch {
        self.with_state(|state| state.epoch())
    }

    /// Returns whether this owner has not been released.
    pub fn is_active(&self) -> bool {
        !self.released.is_cancelled()
    }

    /// Releases the cell and cancels the background tasks. Does nothing after the first call.
    pub fn release(&self, cause: &str) {
        if self.is_active() {
            let epoch = self.epoch();
            decided!(Decision::CellReleased, cell: self.cell, epoch: epoch, cause: cause);
            self.released.cancel();
        }
    }

    /// Waits until this owner is released.
    pub async fn released(&self) {
        self.released.cancelled().await;
    }

    /// Waits until all pending records are stored or the owner is released, for at most `limit`.
    pub async fn flush(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.is_active() && self.lock().has_pending_batch() && Instant::now() < deadline {
            self.wake.notify_one();
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the state of a job as clients may see it, or `None` if the job does not exist.
    ///
    /// # Errors
    /// The job is unknown and the last read of submissions is too old to rule out that it exists.
    pub fn job_state(&self, id: JobId) -> Result<Option<JobState>, CallError> {
        if let JobLookup::Known(state) = self.lock().lookup_job_state(id) {
            return Ok(Some(state));
        }
        let read_at = self
            .submissions_read_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if read_at.iter().all(|at| at.elapsed() <= SUBMISSIONS_AGE_MAX) {
            Ok(None)
        } else {
            Err(CallError::not_run("submissions have not been read lately"))
        }
    }

    /// Returns the number of jobs of a queue in this cell that have not started.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        self.lock().pending_count(queue)
    }

    /// Returns the capacity for new jobs that enter through a failure domain. Reports no backlog if
    /// the backlog may come from the store: while it is slow, or the owner may not start runs.
    pub fn capacity_report(&self, domain: Option<&FailureDomainName>) -> CapacityReport {
        let health = &self.context.health;
        if !self.may_renew() || health.is_slow() || health.is_unreachable() {
            return CapacityReport::default();
        }
        let now = Instant::now();
        let mut reports = self
            .capacity_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((reported_at, report)) = reports.get(&domain.cloned())
            && now.duration_since(*reported_at) < CAPACITY_REPORT_INTERVAL
        {
            return report.clone();
        }
        let report = self.lock().capacity_report(domain, now);
        reports.insert(domain.cloned(), (now, report.clone()));
        report
    }

    /// Returns whether there is room for a job of the given size, or the job is known. Reserves the room
    /// for a large job. `host_max_bytes` is the room that the asking host would have as an owner.
    pub fn reserve_room(&self, id: JobId, bytes: usize, host_max_bytes: usize) -> bool {
        let (is_known, kept_bytes) = self.with_state(|state| {
            let is_known = state.lookup_job_state(id) != JobLookup::NotSubmitted;
            (is_known, state.ledger().memory_bytes())
        });
        let mut room = self.room.lock().unwrap_or_else(PoisonError::into_inner);
        room.limit_to(host_max_bytes);
        is_known || room.reserve(bytes, kept_bytes, Instant::now())
    }

    /// Counts the memory of the jobs in the account of the process.
    pub(super) fn count_kept_jobs(&self) {
        let kept_bytes = self.with_state(|state| state.ledger().memory_bytes());
        self.kept_jobs.set(kept_bytes);
    }

    /// Runs `act` on the state under its lock.
    pub(super) fn with_state<T>(&self, act: impl FnOnce(&mut CellState) -> T) -> T {
        act(&mut self.lock())
    }

    /// Runs `act` on the state under its lock, after the state has learned the operators' requests.
    pub(super) fn with_current_view<T>(&self, act: impl FnOnce(&mut CellState, Instant) -> T) -> T {
        let mut state = self.lock();
        let now = Instant::now();
        let view = self.context.operators.snapshot(now, time_since_boot());
        state.apply_operator_view(view, now);
        act(&mut state, now)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn context(&self) -> &OwnerContext {
        &self.context
    }

    /// Returns whether this owner may still start runs and renew leases: an owner whose last append
    /// was accepted too long ago may have been replaced without knowing.
    ///
    /// Other answers of the store don't count, because they reach a replaced owner as well.
    pub(super) fn may_renew(&self) -> bool {
        self.time_since_confirmation() <= self.context.settings.renewal_right
    }

    /// Returns whether this owner should keep the cell: it is in contact with the store, and its leases
    /// have not expired for want of an accepted append.
    pub(super) fn should_keep_cell(&self) -> bool {
        let settings = &self.context.settings;
        self.context.health.time_since_contact() <= settings.renewal_right
            && self.time_since_confirmation() <= settings.lease
    }

    /// Records that the store accepted an append of this owner, which was first sent at `sent_at`
    /// since boot.
    pub(super) fn record_confirmation(&self, sent_at: Duration) {
        *self.confirmed_at() = sent_at;
    }

    pub(super) fn time_since_confirmation(&self) -> Duration {
        time_since_boot().saturating_sub(*self.confirmed_at())
    }

    fn log_right(&self, has_right: bool) {
        let decision = match has_right {
            true => Decision::RightRegained,
            false => Decision::RightLost,
        };
        decided!(decision, cell: self.cell, confirmed_ms: self.time_since_confirmation().as_millis());
    }

    fn report_evacuations(&self, report: &mut EvacuationReport) {
        let (statuses, (held_back, leaving)) = self.with_state(|state| {
            let statuses = state.evacuation_statuses(Instant::now());
            (statuses, state.take_evacuation_counts())
        });
        let now = time_since_boot();
        let age = self.context.operators.age(now).unwrap_or_default();
        let metrics = &self.context.metrics;
        report.update(self.cell, &statuses, age, now, metrics);
        metrics.operator_view_seconds.set(age.as_secs_f64());
        metrics.count_evacuation_stops("held-back", held_back);
        metrics.count_evacuation_stops("leaving", leaving);
    }

    fn log_view(&self, is_stale: bool) {
        let decision = match is_stale {
            true => Decision::ViewStale,
            false => Decision::ViewFresh,
        };
        let age = self.context.operators.age(time_since_boot());
        decided!(decision, cell: self.cell, view_ms: age.unwrap_or_default().as_millis());
    }

    fn confirmed_at(&self) -> MutexGuard<'_, Duration> {
        self.confirmed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a call to an executor and records its latency.
    ///
    /// `hold` is the time for which the executor may hold its answer. If it answers earlier, the call
    /// does not tell the latency.
    pub(super) async fn call_executor<T, F>(
        &self,
        hold: Duration,
        call: impl FnOnce(Duration) -> F,
    ) -> Result<T, OrderError>
    where
        F: Future<Output = Result<T, OrderError>>,
    {
        let timeout = self.answer_timeout().current();
        let sent_at = Instant::now();
        let answer = call(timeout).await;
        let is_answered = !matches!(
            answer,
            Err(OrderError::NotSent(_) | OrderError::NoListener(_) | OrderError::Unknown(_))
        );
        if let Some(latency) = sent_at.elapsed().checked_sub(hold)
            && (is_answered || latency >= timeout)
        {
            self.answer_timeout().record(latency);
        }
        answer
    }

    fn answer_timeout(&self) -> MutexGuard<'_, AnswerTimeout> {
        self.answer_timeout
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn start(self: &Arc<Self>, submission_feeds: Vec<ChangeFeed>, next_sequence: Sequence) {
        for (index, feed) in submission_feeds.into_iter().enumerate() {
            self.spawn(Arc::clone(self).follow_submissions(index, feed));
        }
        let tasks: [std::pin::Pin<Box<dyn Future<Output = ()> + Send>>; 4] = [
            Box::pin(Arc::clone(self).request_advice()),
            Box::pin(Arc::clone(self).follow_executors()),
            Box::pin(Arc::clone(self).run_timers()),
            Box::pin(CommitLoop::new(Arc::clone(self), next_sequence).run()),
        ];
        for task in tasks {
            self.spawn(task);
        }
    }

    /// Runs a background task until this owner is released. A panic of the task releases the owner: it
    /// would renew leases without placing or recording anything, and nobody would replace it.
    fn spawn(self: &Arc<Self>, task: impl Future<Output = ()> + Send + 'static) {
        let owner = Arc::clone(self);
        let running = tokio::spawn(self.released.clone().run_until_cancelled_owned(task));
        tokio::spawn(async move {
            if running.await.is_err_and(|error| error.is_panic()) {
                owner.release("a task of the owner panicked");
            }
        });
    }

    /// Requests tickets from the approval service, one request at a time: the service handles
    /// requests serially.
    async fn request_advice(self: Arc<Self>) {
        let Some(advisor) = self.context.platform.advisor() else {
            return;
        };
        loop {
            let request = self.with_state(|state| state.next_advice_request(Instant::now()));
            let Some(request) = request else {
                sleep(TIMER_INTERVAL).await;
                continue;
            };
            let advice = match advisor.advise(&request).await {
                Ok(advice) => Some(advice),
                Err(error) => {
                    decided!(Decision::AdviceFailed, job: request.job, cause: error);
                    sleep(RETRY_PAUSE).await;
                    None
                }
            };
            self.with_state(|state| state.handle_advice(&request, advice, Instant::now()));
            self.wake.notify_one();
        }
    }

    async fn run_timers(self: Arc<Self>) {
        let mut config = self.context.config.subscribe();
        let mut evacuations = self.context.operators.subscribe();
        let mut was_stale = false;
        let mut report = EvacuationReport::default();
        let mut reported_at = Instant::now();
        let mut load_logged_at = Instant::now();
        let mut had_right = true;
        loop {
            tokio::select! {
                () = sleep(TIMER_INTERVAL) => {}
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                changed = evacuations.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            self.count_kept_jobs();
            let has_right = self.may_renew();
            if has_right != had_right {
                self.log_right(has_right);
                had_right = has_right;
            }
            let newest = config.borrow_and_update().clone();
            let now_unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let is_stale = self.with_current_view(|state, now| {
                if let Some(config) = newest {
                    state.apply_config(config);
                }
                state.create_due_occurrences(now_unix.as_millis() as u64);
                state.expire_leases(now);
                state.judge_losses(now);
                state.relocate_runs(now);
                state.is_operator_view_stale(now)
            });
            if is_stale != was_stale {
                self.log_view(is_stale);
                was_stale = is_stale;
            }
            if load_logged_at.elapsed() >= LOAD_LOG_INTERVAL {
                load_logged_at = Instant::now();
                self.with_state(|state| {
                    state.log_load(load_logged_at);
                    state.log_queue_orders(load_logged_at);
                });
            }
            if reported_at.elapsed() >= EVACUATION_REPORT_INTERVAL {
                reported_at = Instant::now();
                self.report_evacuations(&mut report);
            }
            self.delete_expired_jobs().await;
            self.wake.notify_one();
        }
    }

    /// Deletes the records of finished jobs after their retention period.
    ///
    /// If the submission of a job can't be deleted now, its progress record stays. With that
    /// record, a later owner recognizes the job as finished and deletes it.
    async fn delete_expired_jobs(&self) {
        let expired = self.with_state(|state| state.take_expired_jobs(Instant::now()));
        let mut deleted = Vec::new();
        for id in expired {
            let partition = job_submission_partition(id.as_str(), self.context.settings.cell_count);
            let keys = [
                id.as_str().into(),
                format!("{CANCELLATION_KEY_PREFIX}{id}").into(),
            ];
            let tombstones = keys.map(|key| KeyedRecord {
                key,
                value: Bytes::new(),
            });
            let store = &self.context.store;
            if store.append(partition, &tombstones, None).await.is_ok() {
                deleted.push(id);
            }
        }
        self.with_state(|state| state.delete_progress(deleted));
    }
}
