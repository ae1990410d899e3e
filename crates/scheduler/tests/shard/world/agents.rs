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
use dotterelhook_standins::worker::Interval;
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

/// What happens to the messages between one process and one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[default]
    None,
    /// Calls never arrive.
    Cut,
    /// Calls arrive, answers don't.
    LoseAnswers,
    /// Calls arrive after so many milliseconds, also when the caller has given up.
    Delay(u64),
    /// Calls arrive at once and again after so many milliseconds.
    Repeat(u64),
}

struct Site {
    model: Mutex<WorkerModel>,
    frozen: watch::Sender<bool>,
}

/// All workers, and the faults on the way to them.
pub(crate) struct Fleet {
    started_at: Instant,
    sites: Vec<Site>,
    links: Mutex<BTreeMap<(usize, usize), LinkFault>>,
    started: Mutex<BTreeMap<AttemptId, Option<Box<str>>>>,
    incarnation: Mutex<u64>,
    throttled: Mutex<Vec<(AttemptId, u32)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Fleet {
    pub(crate) fn new(workers: usize) -> Self {
        let site = |index| Site {
            model: Mutex::new(WorkerModel::new(
                format!("w{index}").parse().expect("a name"),
                Incarnation(1),
                capacity(),
            )),
            frozen: watch::Sender::new(false),
        };
        Self {
            started_at: Instant::now(),
            sites: (0..workers).map(site).collect(),
            links: Mutex::default(),
            started: Mutex::default(),
            throttled: Mutex::default(),
            incarnation: Mutex::new(1),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(crate) fn set_link(&self, host: usize, worker: usize, fault: LinkFault) {
        lock(&self.links).insert((host, worker), fault);
    }

    pub(crate) fn freeze(&self, worker: usize, is_frozen: bool) {
        self.sites[worker].frozen.send_replace(is_frozen);
    }

    pub(crate) fn restart(&self, worker: usize) {
        let mut incarnation = lock(&self.incarnation);
        *incarnation += 1;
        lock(&self.sites[worker].model).restart(Incarnation(*incarnation), self.now_ms());
    }

    pub(crate) fn set_capacity(&self, worker: usize, capacity: Resources) {
        lock(&self.sites[worker].model).set_capacity(capacity);
    }

    /// Has each worker report a latency of its service, by whether batch work runs there.
    pub(crate) fn measure(&self, quiet_us: u64, beside_batch_us: u64) {
        for site in &self.sites {
            let mut model = lock(&site.model);
            let runs = model.intervals().iter().any(|i| i.to_ms.is_none());
            model.set_usage(vec![UsageSample {
                attempt: None,
                service: Some("previews".parse().expect("a name")),
                latency_us: Some(if runs { beside_batch_us } else { quiet_us }),
                used: Resources::new(1_000, 1_000),
                age_ms: 0,
            }]);
        }
    }

    pub(crate) fn set_fails_all(&self, worker: usize, fails_all: bool) {
        lock(&self.sites[worker].model).set_fails_all(fails_all);
    }

    pub(crate) fn heal(&self) {
        lock(&self.links).clear();
        for site in &self.sites {
            site.frozen.send_replace(false);
            lock(&site.model).set_fails_all(false);
        }
    }

    /// Returns the attempts that were throttled or released, with the percent.
    pub(crate) fn throttled(&self) -> Vec<(AttemptId, u32)> {
        lock(&self.throttled).clone()
    }

    pub(crate) fn started(&self) -> BTreeMap<AttemptId, Option<Box<str>>> {
        lock(&self.started).clone()
    }

    /// Returns when each attempt ran, over all workers, in order of start.
    pub(crate) fn intervals(&self) -> Vec<Interval> {
        let now_ms = self.now_ms();
        let mut all = Vec::new();
        for site in &self.sites {
            let mut model = lock(&site.model);
            model.advance(now_ms);
            all.extend_from_slice(model.intervals());
        }
        all.sort_by_key(|interval| interval.from_ms);
        all
    }

    /// Checks that no worker was given too much and no task ran in two places at once.
    pub(crate) fn check(&self) {
        for site in &self.sites {
            let most = lock(&site.model).most_used();
            assert!(most.fits_in(&capacity()), "a worker was given {most}");
        }
        let mut last: BTreeMap<TaskId, Interval> = BTreeMap::new();
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

/// The agents as one process reaches them.
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

type Act<R> = Arc<dyn Fn(&mut WorkerModel, u64) -> Result<R, WorkerRefusal> + Send + Sync>;

impl FakeAgent {
    /// Applies a call once the worker's agent is not frozen.
    async fn arrive<R>(fleet: Arc<Fleet>, worker: usize, act: Act<R>) -> Result<R, WorkerRefusal> {
        let site = &fleet.sites[worker];
        let _ = site.frozen.subscribe().wait_for(|frozen| !*frozen).await;
        act(&mut lock(&site.model), fleet.now_ms())
    }

    async fn call<R: Send + 'static>(&self, act: Act<R>) -> Result<R, CallError> {
        let lost = || Err(CallError::may_have_run("no answer in time"));
        let mut frozen = self.frozen.clone();
        let _ = frozen.wait_for(|frozen| !*frozen).await;
        let link = (self.host, self.worker);
        let fault = lock(&self.fleet.links).get(&link).copied();
        let fault = fault.unwrap_or_default();
        let late = |delay_ms: u64, act: Act<R>| {
            let (fleet, worker) = (Arc::clone(&self.fleet), self.worker);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Self::arrive(fleet, worker, act).await
            })
        };
        let under_way = match fault {
            LinkFault::Cut => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                return Err(CallError::not_run("the link is cut"));
            }
            LinkFault::Delay(delay_ms) => late(delay_ms, act),
            LinkFault::Repeat(delay_ms) => {
                late(delay_ms, Arc::clone(&act));
                late(0, act)
            }
            LinkFault::None | LinkFault::LoseAnswers => late(0, act),
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, under_way).await;
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
        self.call(Arc::new(move |model, now_ms| {
            model.renew(&body, now_ms)?;
            Ok(model.inventory(now_ms))
        }))
        .await
    }

    async fn throttle(&self, attempt: &AttemptId, cpu_percent: u32) -> Result<(), CallError> {
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
