use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::RenewBody;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_borders::worker::UsageSample;
use dotterelhook_borders::worker::WorkerAgent;
use dotterelhook_borders::worker::WorkerAgents;
use dotterelhook_standins::worker::AttemptInterval;
use dotterelhook_standins::worker::WorkerModel;
use dotterelhook_standins::worker::WorkerRefusal;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::TaskId;
use dotterelhook_types::sizes::Resources;
use tokio::sync::watch;
use tokio::time::Instant;

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const FIRST_PORT: u16 = 1_000;

pub(crate) fn capacity() -> Resources {
    Resources::new(4_000, 16_000)
}

pub(crate) fn worker_address(worker: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + worker as u16))
}

/// Fault of the link between one scheduler process and one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[default]
    None,
    /// Calls never arrive.
    Cut,
    /// Calls arrive, but their answers are lost.
    LoseAnswers,
    /// Calls arrive after this many milliseconds, even if the caller has already timed out.
    Delay(u64),
    /// Calls arrive at once, and again after this many milliseconds.
    Repeat(u64),
    /// Calls panic in the caller's process, as after an unexpected answer.
    Panic,
}

struct SimulatedWorker {
    model: Mutex<WorkerModel>,
    frozen: watch::Sender<bool>,
}

/// All simulated workers, and the faults of the links to them.
pub(crate) struct Fleet {
    started_at: Instant,
    workers: Vec<SimulatedWorker>,
    links: Mutex<BTreeMap<(usize, usize), LinkFault>>,
    started: Mutex<BTreeMap<AttemptId, Option<Box<str>>>>,
    incarnation: Mutex<u64>,
    throttled: Mutex<Vec<(AttemptId, u32)>>,
    /// Whether throttle calls are lost, and how many were.
    throttle_loss: Mutex<(bool, u32)>,
    /// The number of renewals that each worker received.
    renewals: Mutex<BTreeMap<usize, u32>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    pub(crate) fn new(workers: usize) -> Self {
        let worker = |index| SimulatedWorker {
            model: Mutex::new(WorkerModel::new(
                format!("w{index}").parse().expect("a name"),
                Incarnation(1),
                capacity(),
            )),
            frozen: watch::Sender::new(false),
        };
        Self {
            started_at: Instant::now(),
            workers: (0..workers).map(worker).collect(),
            links: Mutex::default(),
            started: Mutex::default(),
            throttled: Mutex::default(),
            throttle_loss: Mutex::default(),
            renewals: Mutex::default(),
            incarnation: Mutex::new(1),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(crate) fn set_link_fault(&self, host: usize, worker: usize, fault: LinkFault) {
        lock(&self.links).insert((host, worker), fault);
    }

    pub(crate) fn freeze(&self, worker: usize, is_frozen: bool) {
        self.workers[worker].frozen.send_replace(is_frozen);
    }

    pub(crate) fn restart(&self, worker: usize) {
        let mut incarnation = lock(&self.incarnation);
        *incarnation += 1;
        lock(&self.workers[worker].model).restart(Incarnation(*incarnation), self.now_ms());
    }

    pub(crate) fn set_capacity(&self, worker: usize, capacity: Resources) {
        lock(&self.workers[worker].model).set_capacity(capacity);
    }

    /// Sets the service latency that each worker reports, depending on whether it runs batch work.
    pub(crate) fn report_latencies(&self, quiet_us: u64, beside_batch_us: u64) {
        for worker in &self.workers {
            let mut model = lock(&worker.model);
            let is_running_batch = model.intervals().iter().any(|i| i.to_ms.is_none());
            model.set_usage(vec![UsageSample {
                attempt: None,
                service: Some("previews".parse().expect("a name")),
                latency_us: Some(if is_running_batch {
                    beside_batch_us
                } else {
                    quiet_us
                }),
                used: Resources::new(1_000, 1_000),
                age_ms: 0,
            }]);
        }
    }

    pub(crate) fn set_fails_all(&self, worker: usize, fails_all: bool) {
        lock(&self.workers[worker].model).set_fails_all(fails_all);
    }

    pub(crate) fn heal(&self) {
        lock(&self.links).clear();
        for worker in &self.workers {
            worker.frozen.send_replace(false);
            lock(&worker.model).set_fails_all(false);
        }
    }

    /// Sets whether throttle calls are lost.
    pub(crate) fn set_loses_throttles(&self, is_lossy: bool) {
        lock(&self.throttle_loss).0 = is_lossy;
    }

    pub(crate) fn lost_throttles(&self) -> u32 {
        lock(&self.throttle_loss).1
    }

    pub(crate) fn renewals(&self, worker: usize) -> u32 {
        lock(&self.renewals).get(&worker).copied().unwrap_or(0)
    }

    /// Returns the throttle calls in order: the attempt and its share of CPU time in percent.
    pub(crate) fn throttled(&self) -> Vec<(AttemptId, u32)> {
        lock(&self.throttled).clone()
    }

    pub(crate) fn started(&self) -> BTreeMap<AttemptId, Option<Box<str>>> {
        lock(&self.started).clone()
    }

    /// Returns the intervals in which attempts ran on any worker, in order of start.
    pub(crate) fn intervals(&self) -> Vec<AttemptInterval> {
        let now_ms = self.now_ms();
        let mut all = Vec::new();
        for worker in &self.workers {
            let mut model = lock(&worker.model);
            model.advance(now_ms);
            all.extend_from_slice(model.intervals());
        }
        all.sort_by_key(|interval| interval.from_ms);
        all
    }

    /// Checks that no worker was overcommitted, that no task ran in two places at once, and that no
    /// attempt ran twice.
    pub(crate) fn check(&self) {
        for worker in &self.workers {
            let most = lock(&worker.model).peak_usage();
            assert!(most.fits_in(&capacity()), "a worker was given {most}");
        }
        let mut last: BTreeMap<TaskId, AttemptInterval> = BTreeMap::new();
        for interval in self.intervals() {
            if let Some(earlier) = last.get(&interval.attempt.task) {
                let ended = earlier.to_ms.is_some_and(|to_ms| to_ms <= interval.from_ms);
                assert!(ended, "two places at once: {earlier:?} and {interval:?}");
            }
            let before = last.insert(interval.attempt.task.clone(), interval.clone());
            let is_again = before.is_some_and(|before| before.attempt == interval.attempt);
            assert!(!is_again, "one attempt ran twice: {interval:?}");
        }
    }
}

/// Creates the agents through which one process reaches the workers.
pub(crate) struct FakeAgents {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) host: usize,
    pub(crate) frozen: watch::Receiver<bool>,
}

impl WorkerAgents for FakeAgents {
    fn agent(&self, address: SocketAddr) -> Arc<dyn WorkerAgent> {
        Arc::new(FakeAgent {
            fleet: Arc::clone(&self.fleet),
            host: self.host,
            worker: (address.port() - FIRST_PORT) as usize,
            frozen: self.frozen.clone(),
        })
    }
}

#[derive(Clone)]
struct FakeAgent {
    fleet: Arc<Fleet>,
    host: usize,
    worker: usize,
    frozen: watch::Receiver<bool>,
}

type ModelCall<R> = Arc<dyn Fn(&mut WorkerModel, u64) -> Result<R, WorkerRefusal> + Send + Sync>;

impl FakeAgent {
    /// Applies a call to the worker's model once the worker is not frozen.
    async fn deliver<R>(
        fleet: Arc<Fleet>,
        worker: usize,
        call: ModelCall<R>,
    ) -> Result<R, WorkerRefusal> {
        let worker = &fleet.workers[worker];
        let _ = worker.frozen.subscribe().wait_for(|frozen| !*frozen).await;
        call(&mut lock(&worker.model), fleet.now_ms())
    }

    async fn call<R: Send + 'static>(&self, call: ModelCall<R>) -> Result<R, CallError> {
        let lost = || Err(CallError::may_have_run("no answer in time"));
        let mut frozen = self.frozen.clone();
        let _ = frozen.wait_for(|frozen| !*frozen).await;
        let link = (self.host, self.worker);
        let fault = lock(&self.fleet.links).get(&link).copied();
        let fault = fault.unwrap_or_default();
        let deliver_after = |delay_ms: u64, call: ModelCall<R>| {
            let (fleet, worker) = (Arc::clone(&self.fleet), self.worker);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Self::deliver(fleet, worker, call).await
            })
        };
        let delivery = match fault {
            LinkFault::Cut => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                return Err(CallError::not_run("the link is cut"));
            }
            LinkFault::Panic => panic!("an injected panic"),
            LinkFault::Delay(delay_ms) => deliver_after(delay_ms, call),
            LinkFault::Repeat(delay_ms) => {
                deliver_after(delay_ms, Arc::clone(&call));
                deliver_after(0, call)
            }
            LinkFault::None | LinkFault::LoseAnswers => deliver_after(0, call),
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, delivery).await;
        let _ = frozen.wait_for(|frozen| !*frozen).await;
        match answer {
            _ if fault == LinkFault::LoseAnswers => lost(),
            Ok(Ok(Ok(value))) => Ok(value),
            Ok(Ok(Err(refusal))) => Err(CallError::not_run(refusal.to_string())),
            _ => lost(),
        }
    }
}

#[async_trait]
impl WorkerAgent for FakeAgent {
    async fn inventory(&self) -> Result<Inventory, CallError> {
        self.call(Arc::new(|model, now_ms| Ok(model.inventory(now_ms))))
            .await
    }

    async fn start(&self, attempt: &AttemptId, body: &StartBody) -> Result<(), CallError> {
        let (attempt, body) = (attempt.clone(), body.clone());
        let fleet = Arc::clone(&self.fleet);
        self.call(Arc::new(move |model, now_ms| {
            model.start(&attempt, &body, now_ms)?;
            lock(&fleet.started).insert(attempt.clone(), body.checkpoint.clone());
            Ok(())
        }))
        .await
    }

    async fn renew(&self, body: &RenewBody) -> Result<Inventory, CallError> {
        let body = body.clone();
        *lock(&self.fleet.renewals).entry(self.worker).or_default() += 1;
        self.call(Arc::new(move |model, now_ms| {
            model.renew(&body, now_ms)?;
            Ok(model.inventory(now_ms))
        }))
        .await
    }

    async fn throttle(&self, attempt: &AttemptId, cpu_percent: u32) -> Result<(), CallError> {
        let mut loss = lock(&self.fleet.throttle_loss);
        if loss.0 {
            loss.1 += 1;
            return Err(CallError::may_have_run("no answer in time"));
        }
        lock(&self.fleet.throttled).push((attempt.clone(), cpu_percent));
        Ok(())
    }

    async fn checkpoint(&self, attempt: &AttemptId) -> Result<Box<str>, CallError> {
        let attempt = attempt.clone();
        let name = self
            .call(Arc::new(move |model, now_ms| {
                Ok(model.checkpoint(&attempt, now_ms))
            }))
            .await?;
        name.ok_or_else(|| CallError::not_run("the attempt does not run"))
    }

    async fn stop(&self, attempt: &AttemptId, body: &StopBody) -> Result<(), CallError> {
        let (attempt, body) = (attempt.clone(), *body);
        self.call(Arc::new(move |model, now_ms| {
            model.stop(&attempt, &body, now_ms);
            Ok(())
        }))
        .await
    }

    async fn forget(&self, attempt: &AttemptId) -> Result<(), CallError> {
        let attempt = attempt.clone();
        self.call(Arc::new(move |model, _| {
            model.forget(&attempt);
            Ok(())
        }))
        .await
    }
}
