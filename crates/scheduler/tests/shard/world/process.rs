use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::log::Log;
use dotterelhook_borders::log::LogPage;
use dotterelhook_borders::log::MemoryLog;
use dotterelhook_scheduler::ShardCommand;
use dotterelhook_scheduler::interference::LearnedPairs;
use dotterelhook_scheduler::interference::LearnedPairsSettings;
use dotterelhook_scheduler::placement::FewestVictims;
use dotterelhook_scheduler::placement::IndexedPlacer;
use dotterelhook_scheduler::shard::ShardContext;
use dotterelhook_scheduler::shard::ShardMetrics;
use dotterelhook_scheduler::shard::new_shard_task;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::World;
use super::agents::FakeAgents;
use super::shard;
use super::views::FakeMembership;
use super::views::ProcessConfig;
use super::views::host_id;

const COMMIT_INTERVAL: Duration = Duration::from_millis(100);
const CLOCK_RATE_PER_MILLE: u64 = 1_009;
/// The greatest age of the configuration at which a process starts attempts.
pub(crate) const VIEW_AGE_MAX: Duration = Duration::from_secs(3);
/// The time for one record while reads are slow.
const SLOW_READ: Duration = Duration::from_secs(4);

/// One scheduler process, reduced to the task of a single shard.
pub(crate) struct Process {
    pub(crate) commands: mpsc::Sender<ShardCommand>,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: ShardMetrics,
    frozen: Arc<watch::Sender<bool>>,
    log_cut: Arc<AtomicBool>,
    slow_reads: Arc<AtomicBool>,
    config_cut: Arc<AtomicBool>,
    stopping: CancellationToken,
    task: JoinHandle<()>,
}

impl Process {
    pub(crate) fn spawn(world: &World, host: usize, incarnation: Incarnation) -> Self {
        let frozen = Arc::new(watch::Sender::new(false));
        let log_cut = Arc::new(AtomicBool::new(false));
        let slow_reads = Arc::new(AtomicBool::new(false));
        let config_cut = Arc::new(AtomicBool::new(false));
        let metrics = ShardMetrics::default();
        let context = ShardContext {
            shard: shard(),
            host: host_id(host),
            incarnation,
            shard_count: 1,
            lease_times: world.times,
            commit_interval: COMMIT_INTERVAL,
            log: Arc::new(ProcessLog {
                log: Arc::clone(&world.log),
                frozen: frozen.subscribe(),
                log_cut: Arc::clone(&log_cut),
                slow_reads: Arc::clone(&slow_reads),
                appends: Arc::clone(&world.appends),
            }),
            clock: Arc::new(FastClock {
                started_at: Instant::now(),
            }),
            hosts: Arc::clone(&world.views) as _,
            membership: Arc::new(FakeMembership {
                views: Arc::clone(&world.views),
                host,
            }),
            worker_agents: Arc::new(FakeAgents {
                fleet: Arc::clone(&world.fleet),
                host,
                frozen: frozen.subscribe(),
            }),
            config: Arc::new(ProcessConfig::new(
                Arc::clone(&world.views),
                Arc::clone(&config_cut),
                frozen.subscribe(),
            )),
            view_age_max: Some(VIEW_AGE_MAX),
            other_domains: Arc::clone(&world.domain) as _,
            create_placer: || Box::new(IndexedPlacer::default()),
            create_controller: || Box::new(LearnedPairs::new(LearnedPairsSettings::default())),
            eviction_policy: Arc::new(FewestVictims),
            metrics: metrics.clone(),
        };
        let stopping = CancellationToken::new();
        let (commands, task) = new_shard_task(context, stopping.clone());
        Self {
            commands,
            incarnation,
            metrics,
            frozen,
            log_cut,
            slow_reads,
            config_cut,
            stopping,
            task: tokio::spawn(task),
        }
    }

    /// Delays all calls and answers of the process until it is thawed.
    pub(crate) fn freeze(&self) {
        self.frozen.send_replace(true);
    }

    pub(crate) fn thaw(&self) {
        self.frozen.send_replace(false);
    }

    /// Cuts the process off from the log.
    pub(crate) fn set_log_cut(&self, is_cut: bool) {
        self.log_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Cuts the process off from new configurations.
    pub(crate) fn set_config_cut(&self, is_cut: bool) {
        self.config_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Lets each read of the log take 4 s and return at most one record.
    pub(crate) fn set_slow_reads(&self, is_slow: bool) {
        self.slow_reads.store(is_slow, Ordering::SeqCst);
    }

    /// Stops the process gracefully, so that it releases the shard.
    pub(crate) async fn stop(mut self) {
        self.stopping.cancel();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A clock that runs 0.9 % faster than the workers' clocks; the permitted drift is 1 %.
struct FastClock {
    started_at: Instant,
}

impl Clock for FastClock {
    fn monotonic_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 * CLOCK_RATE_PER_MILLE / 1_000
    }

    fn unix_ms(&self) -> u64 {
        self.monotonic_ms()
    }
}

/// Access of one process to the log.
struct ProcessLog {
    log: Arc<MemoryLog>,
    frozen: watch::Receiver<bool>,
    log_cut: Arc<AtomicBool>,
    slow_reads: Arc<AtomicBool>,
    appends: Arc<AtomicU64>,
}

impl ProcessLog {
    async fn pass_link(&self) -> Result<(), CallError> {
        let _ = self.frozen.clone().wait_for(|frozen| !*frozen).await;
        if self.log_cut.load(Ordering::SeqCst) {
            return Err(CallError::not_run("cut off from the log"));
        }
        Ok(())
    }
}

#[async_trait]
impl Log for ProcessLog {
    async fn append(&self, stream: &str, payloads: &[Box<str>]) -> Result<Offset, CallError> {
        self.pass_link().await?;
        self.appends.fetch_add(1, Ordering::SeqCst);
        let result = self.log.append(stream, payloads).await;
        let _ = self.frozen.clone().wait_for(|frozen| !*frozen).await;
        result
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        max_records: usize,
        hold: Duration,
    ) -> Result<LogPage, CallError> {
        self.pass_link().await?;
        let result = if self.slow_reads.load(Ordering::SeqCst) {
            let page = self.log.read(stream, from, 1, hold).await;
            tokio::time::sleep(SLOW_READ).await;
            page
        } else {
            self.log.read(stream, from, max_records, hold).await
        };
        let _ = self.frozen.clone().wait_for(|frozen| !*frozen).await;
        match self.log_cut.load(Ordering::SeqCst) {
            true => Err(CallError::may_have_run("cut off from the log")),
            false => result,
        }
    }
}
