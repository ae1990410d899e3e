use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::cell::CellState;
use dotterelhook_jobs::cell::CommitBatch;
use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::config::QueueRoute;
use dotterelhook_jobs::fleet::Order;
use dotterelhook_jobs::ledger::JobProgress;
use dotterelhook_jobs::ledger::decode;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::JobId;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::RunNumber;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::model::TaskId;
use dotterelhook_jobs::platform::EndedRun;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::RunEnd;
use dotterelhook_jobs::platform::RunningRun;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::Resources;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

/// The queue that all jobs of the tests are in.
pub(crate) const QUEUE: &str = "plans";
/// The pool of all executors.
pub(crate) const SERVICE: &str = "desk";
/// The lease of the tests.
pub(crate) const LEASE: Duration = Duration::from_secs(6);

/// A cell with executors that are played by the test.
pub(crate) struct World {
    pub(crate) cell: CellState,
    pub(crate) now: Instant,
    pub(crate) orders: BTreeMap<ExecutorId, UnboundedReceiver<Order>>,
    clock_ms: u64,
    /// The newest progress of each job, as it is stored.
    pub(crate) stored: HashMap<JobId, JobProgress>,
}

pub(crate) fn settings() -> CellSettings {
    CellSettings {
        cell_count: 1,
        lease: LEASE,
        renewal_hold: Duration::from_secs(1),
        order_timeout: Duration::from_millis(500),
        renewal_right: Duration::from_secs(12),
        commit_interval: Duration::from_millis(25),
        stop_max: Duration::from_millis(200),
        retention: Duration::from_secs(180),
        early_max: Duration::ZERO,
        membership_ttl: Duration::from_millis(1_500),
    }
}

pub(crate) fn terms(attempts_max: u32) -> QueueConfig {
    QueueConfig {
        name: QUEUE.into(),
        service: SERVICE.into(),
        priority: 0,
        attempts_max,
        stretch: 2.0,
        target_latency_ms: 1_000,
        advice: None,
    }
}

pub(crate) fn config(attempts_max: u32) -> Arc<DeploymentConfig> {
    config_of(terms(attempts_max))
}

pub(crate) fn config_of(terms: QueueConfig) -> Arc<DeploymentConfig> {
    let route = QueueRoute {
        host: "a.example".into(),
        path_prefix: "/plans/".into(),
        timeout: Duration::from_secs(3),
        terms: Arc::new(terms),
    };
    Arc::new(DeploymentConfig::new(
        1,
        1 << 18,
        vec![route],
        HashMap::new(),
    ))
}

pub(crate) fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("a valid id")
}

pub(crate) fn task(number: u64, step: u32, index: u32) -> TaskId {
    TaskId {
        job: job(number),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn step(count: u32, cpu_milli: u64, after: &[u32]) -> StepSpec {
    StepSpec {
        count,
        need: Resources::new(cpu_milli, 1_000),
        estimate_ms: 1_000,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

pub(crate) fn submission(steps: Vec<StepSpec>) -> Arc<Submission> {
    Arc::new(Submission {
        queue: terms(3),
        spec: JobSpec {
            payload: "work".into(),
            steps,
            schedule: None,
        },
        accepted_unix_ms: 0,
    })
}

pub(crate) fn running(task: TaskId, run: u32) -> RunningRun {
    RunningRun {
        task,
        run: RunNumber(run),
        checkpoint: None,
        progress_percent: 10.0,
        recent_measurement: None,
    }
}

pub(crate) fn ended(number: u64, task: TaskId, run: u32, end: RunEnd) -> EndedRun {
    EndedRun {
        number,
        task,
        run: RunNumber(run),
        end,
        checkpoint: None,
    }
}

impl World {
    /// Creates a cell without executors.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            cell: CellState::new(Arc::new(settings()), Epoch(7), config(3), now),
            now,
            orders: BTreeMap::new(),
            clock_ms: 1_000,
            stored: HashMap::new(),
        }
    }

    /// Creates a cell with one executor of 4 cores, and the given job as its first.
    pub(crate) fn with_job(submitted: &Arc<Submission>) -> Self {
        let mut world = Self::new();
        world.list("i-1", 4_000);
        world.report("i-1", vec![], vec![]);
        world.cell.accept(job(1), Arc::clone(submitted), world.now);
        world
    }

    /// Creates the cell of the next owner from what is stored and submitted.
    pub(crate) fn take_over(&self, submissions: &[(JobId, Arc<Submission>)]) -> Self {
        let mut next = Self {
            cell: CellState::new(Arc::new(settings()), Epoch(8), config(3), self.now),
            now: self.now,
            orders: BTreeMap::new(),
            clock_ms: self.clock_ms,
            stored: self.stored.clone(),
        };
        for (id, submission) in submissions {
            let progress = self.stored.get(id).cloned().unwrap_or_default();
            next.cell
                .restore(*id, Arc::clone(submission), progress, self.now);
        }
        next
    }

    /// Lists an executor of the given size.
    pub(crate) fn list(&mut self, id: &str, cpu_milli: u64) {
        let entry = ExecutorEntry {
            id: id.into(),
            incarnation: Some(Incarnation(1)),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            failure_domain: "laguna".into(),
            labels: Vec::new(),
            capacity: Resources::new(cpu_milli, 100_000),
            phase: ExecutorPhase::Ready,
        };
        if let Some(orders) = self.cell.upsert_executor(entry, self.now) {
            self.orders.insert(id.into(), orders);
        }
    }

    /// Lets an executor answer a renewal that was sent just before.
    pub(crate) fn report(&mut self, id: &str, running: Vec<RunningRun>, ended: Vec<EndedRun>) {
        self.report_of(id, 1, running, ended);
    }

    /// Lets a life of an executor answer a renewal.
    pub(crate) fn report_of(
        &mut self,
        id: &str,
        incarnation: u64,
        running: Vec<RunningRun>,
        ended: Vec<EndedRun>,
    ) {
        self.pass(Duration::from_millis(5));
        let asked_at = self.now;
        self.pass(Duration::from_millis(5));
        let report = ExecutorReport {
            clock_ms: self.clock_ms,
            incarnation: Incarnation(incarnation),
            running,
            ended,
        };
        self.cell
            .handle_report(&id.into(), report, asked_at, self.now);
    }

    /// Lets time pass.
    pub(crate) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.clock_ms += time.as_millis() as u64;
    }

    /// Takes the batch that an owner would store next.
    pub(crate) fn take_batch(&mut self) -> CommitBatch {
        self.cell.place_waiting_tasks(self.now);
        let batch = self.cell.take_batch(self.now);
        for record in &batch.records {
            let Ok(id) = record.key.parse() else {
                continue;
            };
            let progress = decode(&record.value).expect("a progress record");
            self.stored.insert(id, progress);
        }
        batch
    }

    /// Places what waits, stores it and lets it take effect.
    pub(crate) fn commit(&mut self) {
        while {
            let batch = self.take_batch();
            self.cell.handle_batch_stored(batch, self.now);
            self.cell.has_pending_batch()
        } {}
    }

    /// Returns the orders that an executor was sent since the last call.
    pub(crate) fn sent(&mut self, id: &str) -> Vec<Order> {
        let orders = self.orders.get_mut(id).expect("a listed executor");
        std::iter::from_fn(|| orders.try_recv().ok()).collect()
    }

    /// Lets an executor take every start that it was sent; returns the tasks.
    pub(crate) fn start_all(&mut self, id: &str) -> Vec<TaskId> {
        let mut started = Vec::new();
        for order in self.sent(id) {
            if let Order::Start(task, run) = order {
                self.cell
                    .handle_start_result(&id.into(), task, run, Ok(()), self.now);
                started.push(task);
            }
        }
        started
    }
}
