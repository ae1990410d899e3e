use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Sequence;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::MemberName;
use super::OwnerDirectory;
use super::commit_loop::CommitLoop;
use super::takeover::Takeover;
use super::takeover::take_over;
use super::topics::CANCELLATION_KEY_PREFIX;
use super::topics::job_submission_partition;
use crate::cell::CellSettings;
use crate::cell::CellState;
use crate::cell::StateAnswer;
use crate::config::ActiveConfig;
use crate::model::JobId;
use crate::model::JobState;
use crate::model::QueueName;
use crate::observe::Decision;
use crate::observe::JobMetrics;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::platform::Platform;
use crate::platform::Store;
use crate::platform::StoreError;
use crate::store_access::ChangeFeed;
use crate::store_access::StoreHealth;

/// The greatest age of the last read at which a job may be called unknown.
const FRESH_MAX: Duration = Duration::from_millis(2_500);
/// The pause after a failed read.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The time between two lines about how full a cell is.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// The time between looks at timers.
const TICK: Duration = Duration::from_millis(100);

/// What the owners of cells in one process share.
pub struct OwnerContext {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Its store, with its calls counted.
    pub store: Arc<dyn Store>,
    /// Whether the store can be reached.
    pub health: Arc<StoreHealth>,
    /// The configuration in force.
    pub config: Arc<ActiveConfig>,
    /// The owners of all cells.
    pub directory: Arc<OwnerDirectory>,
    /// How cells are run.
    pub settings: Arc<CellSettings>,
    /// This process.
    pub member: MemberName,
    /// Calls to other hosts.
    pub peers: Arc<PeerClient>,
    /// What is counted.
    pub metrics: JobMetrics,
}

/// The owner of one cell, from its claim until it is replaced or stops.
pub struct CellOwner {
    pub(super) cell: u32,
    pub(super) context: Arc<OwnerContext>,
    state: Mutex<CellState>,
    /// Something may be placed or stored.
    pub(super) wake: Notify,
    /// A batch was stored.
    pub(super) stored: Notify,
    /// Ends everything that acts for this owner.
    pub(super) released: CancellationToken,
    /// When each partition of submissions was last read.
    pub(super) submissions_read_at: Mutex<Vec<Instant>>,
}

impl CellOwner {
    /// Claims a cell and begins to act for it.
    ///
    /// # Errors
    /// The store can't be reached, or another host claims the cell as well.
    pub async fn claim(context: Arc<OwnerContext>, cell: u32) -> Result<Arc<Self>, StoreError> {
        let started = Instant::now();
        let Takeover {
            state,
            submissions,
            next_sequence,
        } = take_over(&context, cell).await?;
        let epoch = state.epoch();
        let jobs = state.ledger().jobs().count();
        let owner = Arc::new(Self {
            cell,
            state: Mutex::new(state),
            wake: Notify::new(),
            stored: Notify::new(),
            released: CancellationToken::new(),
            submissions_read_at: Mutex::new(vec![started; submissions.len()]),
            context: Arc::clone(&context),
        });
        context.metrics.takeovers.inc();
        context
            .metrics
            .takeover_seconds
            .observe(started.elapsed().as_secs_f64());
        decided!(Decision::CellClaimed, cell: cell, epoch: epoch, open_jobs: jobs, took_ms: started.elapsed().as_millis());
        owner.start(submissions, next_sequence);
        Ok(owner)
    }

    /// Returns the cell's number.
    pub fn cell(&self) -> u32 {
        self.cell
    }

    /// Returns the generation.
    pub fn epoch(&self) -> Epoch {
        self.with(|state| state.epoch())
    }

    /// Returns whether this owner still acts for the cell.
    pub fn is_active(&self) -> bool {
        !self.released.is_cancelled()
    }

    /// Stops acting for the cell.
    pub fn release(&self, cause: &str) {
        if self.is_active() {
            let epoch = self.epoch();
            decided!(Decision::CellReleased, cell: self.cell, epoch: epoch, cause: cause);
            self.released.cancel();
        }
    }

    /// Waits until this owner acts no more.
    pub async fn released(&self) {
        self.released.cancelled().await;
    }

    /// Waits until everything that is decided is stored, or the limit is over.
    pub async fn flush(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.is_active() && self.lock().has_batch() && Instant::now() < deadline {
            self.wake.notify_one();
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns what a client may be told of its job.
    ///
    /// # Errors
    /// Submissions have not been read lately, so an unknown job may exist.
    pub fn job_state(&self, id: JobId) -> Result<Option<JobState>, CallError> {
        if let StateAnswer::Known(state) = self.lock().state_of(id) {
            return Ok(Some(state));
        }
        let read_at = self
            .submissions_read_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if read_at.iter().all(|at| at.elapsed() <= FRESH_MAX) {
            Ok(None)
        } else {
            Err(CallError::not_run("submissions have not been read lately"))
        }
    }

    /// Returns the number of a queue's jobs that have not begun.
    pub fn pending_count(&self, queue: &QueueName) -> u64 {
        self.lock().pending_count(queue)
    }

    /// Changes or looks at the state.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut CellState) -> T) -> T {
        act(&mut self.lock())
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, CellState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn context(&self) -> &OwnerContext {
        &self.context
    }

    /// Returns whether leases may be renewed, by the last contact with the store.
    pub(super) fn may_renew(&self) -> bool {
        self.context.health.time_since_contact() <= self.context.settings.renewal_right
    }

    fn start(self: &Arc<Self>, submissions: Vec<ChangeFeed>, next_sequence: Sequence) {
        for (turn, feed) in submissions.into_iter().enumerate() {
            let task = Arc::clone(self).follow_submissions(turn, feed);
            tokio::spawn(self.released.clone().run_until_cancelled_owned(task));
        }
        let tasks: [std::pin::Pin<Box<dyn Future<Output = ()> + Send>>; 4] = [
            Box::pin(Arc::clone(self).follow_advice()),
            Box::pin(Arc::clone(self).follow_executors()),
            Box::pin(Arc::clone(self).follow_time()),
            Box::pin(CommitLoop::new(Arc::clone(self), next_sequence).run()),
        ];
        for task in tasks {
            tokio::spawn(self.released.clone().run_until_cancelled_owned(task));
        }
    }

    /// Asks the approval service for tickets, one question at a time: it serves them in turn.
    async fn follow_advice(self: Arc<Self>) {
        let Some(advisor) = self.context.platform.advisor() else {
            return;
        };
        loop {
            let question = self.with(|state| state.next_question(Instant::now()));
            let Some(question) = question else {
                sleep(TICK).await;
                continue;
            };
            let advice = match advisor.advise(&question).await {
                Ok(advice) => Some(advice),
                Err(error) => {
                    decided!(Decision::AdviceFailed, job: question.job, cause: error);
                    sleep(RETRY_PAUSE).await;
                    None
                }
            };
            self.with(|state| state.take_advice(&question, advice, Instant::now()));
            self.wake.notify_one();
        }
    }

    async fn follow_time(self: Arc<Self>) {
        let mut config = self.context.config.subscribe();
        let mut load_logged_at = Instant::now();
        loop {
            tokio::select! {
                () = sleep(TICK) => {}
                changed = config.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            let newest = config.borrow_and_update().clone();
            let now_unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            self.with(|state| {
                if let Some(config) = newest {
                    state.take_config(config);
                }
                state.open_due_occurrences(now_unix.as_millis() as u64);
                state.lapse_silent(Instant::now());
                state.relocate(Instant::now());
            });
            if load_logged_at.elapsed() >= LOAD_INTERVAL {
                load_logged_at = Instant::now();
                self.with(|state| state.log_load(load_logged_at));
            }
            self.forget_finished().await;
            self.wake.notify_one();
        }
    }

    /// Drops the records of jobs that ended long ago.
    ///
    /// A job whose submission can't be dropped now is dropped by a later owner, which takes it for
    /// finished as long as its progress is there.
    async fn forget_finished(&self) {
        let forgotten = self.with(|state| state.take_forgotten(Instant::now()));
        let mut dropped = Vec::new();
        for id in forgotten {
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
                dropped.push(id);
            }
        }
        self.with(|state| state.drop_progress(dropped));
    }
}
