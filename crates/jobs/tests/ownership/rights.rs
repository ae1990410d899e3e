use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_jobs::cell::CellSettings;
use dotterelhook_jobs::config::ActiveConfig;
use dotterelhook_jobs::config::DeploymentConfig;
use dotterelhook_jobs::evacuation::OperatorView;
use dotterelhook_jobs::ledger::encode;
use dotterelhook_jobs::model::ExecutorEntry;
use dotterelhook_jobs::model::ExecutorId;
use dotterelhook_jobs::model::ExecutorPhase;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::model::Submission;
use dotterelhook_jobs::observe::JobMetrics;
use dotterelhook_jobs::ownership::CellOwner;
use dotterelhook_jobs::ownership::MemberName;
use dotterelhook_jobs::ownership::OwnerContext;
use dotterelhook_jobs::ownership::OwnerDirectory;
use dotterelhook_jobs::ownership::job_submission_partition;
use dotterelhook_jobs::platform::Advisor;
use dotterelhook_jobs::platform::DecodeError;
use dotterelhook_jobs::platform::ExecutorLink;
use dotterelhook_jobs::platform::ExecutorReport;
use dotterelhook_jobs::platform::Group;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::OperatorRecord;
use dotterelhook_jobs::platform::OrderError;
use dotterelhook_jobs::platform::PaceOrder;
use dotterelhook_jobs::platform::Partition;
use dotterelhook_jobs::platform::Platform;
use dotterelhook_jobs::platform::Renewal;
use dotterelhook_jobs::platform::StartOrder;
use dotterelhook_jobs::platform::StopOrder;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_jobs::store_access::TrackedStore;
use dotterelhook_jobs::store_access::time_since_boot;
use dotterelhook_kernel::memory::MachineMemory;
use dotterelhook_kernel::memory::MemoryAccount;
use dotterelhook_peer::rpc::PeerClient;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::sizes::CpuMilli;
use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::hosts;
use crate::memory_store::MemoryStore;

const EXECUTORS: Partition = Partition {
    topic: "keyed.executors",
    number: 0,
};
const RENEWAL_RIGHT: Duration = Duration::from_millis(300);
/// The time of a renewal in flight and of late timers.
const MARGIN: Duration = Duration::from_millis(200);

/// The time without an answer after which a call to an executor has failed.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);

/// An executor that only some hosts reach and that answers no start. Records the calls that carry a
/// lease.
struct RecordingExecutor {
    started: Instant,
    is_reachable: bool,
    renewed_at: Mutex<Vec<Instant>>,
    start_sent_at: Mutex<Vec<Instant>>,
}

impl RecordingExecutor {
    fn new(is_reachable: bool) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            is_reachable,
            renewed_at: Mutex::default(),
            start_sent_at: Mutex::default(),
        })
    }

    fn renewals_after(&self, time: Instant) -> usize {
        let renewed_at = self.renewed_at.lock().expect("no panic");
        renewed_at.iter().filter(|at| **at > time).count()
    }

    fn starts_after(&self, time: Instant) -> usize {
        let start_sent_at = self.start_sent_at.lock().expect("no panic");
        start_sent_at.iter().filter(|at| **at > time).count()
    }
}

#[async_trait]
impl ExecutorLink for RecordingExecutor {
    async fn renew(&self, renewal: &Renewal, _: Duration) -> Result<ExecutorReport, OrderError> {
        if !self.is_reachable {
            return Err(OrderError::NotSent("cut off".into()));
        }
        if renewal.lease_end_ms.is_some() {
            let mut renewed_at = self.renewed_at.lock().expect("no panic");
            renewed_at.push(Instant::now());
        }
        sleep(Duration::from_millis(10)).await;
        Ok(ExecutorReport {
            clock_ms: self.started.elapsed().as_millis() as u64,
            incarnation: Incarnation(1),
            running: Vec::new(),
            ended: Vec::new(),
            may_have_more_ends: false,
        })
    }

    async fn start(&self, _: &StartOrder, _: Duration) -> Result<(), OrderError> {
        self.start_sent_at
            .lock()
            .expect("no panic")
            .push(Instant::now());
        sleep(ORDER_TIMEOUT).await;
        Err(OrderError::Unknown("no answer".into()))
    }

    async fn stop(&self, _: &StopOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }

    async fn pace(&self, _: &PaceOrder, _: Duration) -> Result<(), OrderError> {
        Ok(())
    }
}

/// The entry of an executor whose decoding panics.
pub(crate) const PANICKING_ENTRY: &[u8] = b"panic";

/// A platform with one executor.
struct OneExecutorPlatform {
    store: Arc<dyn Store>,
    executor: Arc<dyn ExecutorLink>,
}

impl Platform for OneExecutorPlatform {
    fn store(&self) -> Arc<dyn Store> {
        Arc::clone(&self.store)
    }

    fn operator_partition(&self) -> Partition {
        Partition {
            topic: "keyed.operator",
            number: 0,
        }
    }

    fn executor_partition(&self) -> Partition {
        EXECUTORS
    }

    fn decode_operator_record(&self, _: &KeyedRecord) -> Result<OperatorRecord, DecodeError> {
        Ok(OperatorRecord::Other)
    }

    fn decode_executor(&self, id: &str, value: &Bytes) -> Result<ExecutorEntry, DecodeError> {
        assert_ne!(&value[..], PANICKING_ENTRY, "an injected panic");
        Ok(ExecutorEntry {
            id: id.into(),
            incarnation: Some(Incarnation(1)),
            service: "desk".into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            failure_domain: "laguna".into(),
            labels: Vec::new(),
            capacity: Resources::new(4_000, 100_000),
            phase: ExecutorPhase::Ready,
            cold_left: Duration::ZERO,
        })
    }

    fn advisor(&self) -> Option<Arc<dyn Advisor>> {
        None
    }

    fn executor_link(&self, _: &ExecutorId, _: SocketAddr) -> Arc<dyn ExecutorLink> {
        Arc::clone(&self.executor)
    }
}

pub(crate) fn settings() -> CellSettings {
    CellSettings {
        renewal_hold: Duration::from_millis(10),
        order_timeout: ORDER_TIMEOUT,
        renewal_right: RENEWAL_RIGHT,
        ..hosts::settings()
    }
}

/// The context of a process whose read of the owner directory hangs, while the store answers its
/// other calls.
pub(crate) fn context(
    store: &Arc<MemoryStore>,
    host: &str,
    executor: &Arc<impl ExecutorLink + 'static>,
) -> Arc<OwnerContext> {
    context_with(store, host, executor, OperatorView::new(None))
}

fn context_with(
    store: &Arc<MemoryStore>,
    host: &str,
    executor: &Arc<impl ExecutorLink + 'static>,
    operators: OperatorView,
) -> Arc<OwnerContext> {
    context_of(store, host, executor, operators, settings())
}

/// The context of a process with settings of its own.
pub(crate) fn context_of(
    store: &Arc<MemoryStore>,
    host: &str,
    executor: &Arc<impl ExecutorLink + 'static>,
    operators: OperatorView,
    settings: CellSettings,
) -> Arc<OwnerContext> {
    let store = Arc::clone(store) as Arc<dyn Store>;
    let health = Arc::new(StoreHealth::default());
    let metrics = JobMetrics::default();
    let tracked = TrackedStore::new(store, Arc::clone(&health), metrics.clone());
    let store: Arc<dyn Store> = Arc::new(tracked);
    let config = Arc::new(ActiveConfig::default());
    config.activate_if_newer(DeploymentConfig::default());
    Arc::new(OwnerContext {
        memory: MemoryAccount::new(MachineMemory::from_megabytes(160)),
        platform: Arc::new(OneExecutorPlatform {
            store: Arc::clone(&store),
            executor: Arc::clone(executor) as Arc<dyn ExecutorLink>,
        }),
        store: Arc::clone(&store),
        health,
        config,
        operators: Arc::new(operators),
        directory: Arc::new(OwnerDirectory::new(store, 1)),
        settings: Arc::new(settings),
        member: MemberName {
            host: host.into(),
            incarnation: Incarnation(1),
            address: ([127, 0, 0, 1], 9_001).into(),
            cpu_milli: CpuMilli(100),
        },
        peers: Arc::new(PeerClient::default()),
        metrics,
    })
}

/// Stores an entry of the executor.
pub(crate) async fn list_executor(store: &MemoryStore) {
    write_entry(store, b"entry").await;
}

/// Stores an entry of the executor with the given value.
pub(crate) async fn write_entry(store: &MemoryStore, value: &'static [u8]) {
    let record = KeyedRecord {
        key: "i-1".into(),
        value: Bytes::from_static(value),
    };
    let listed = store.append(EXECUTORS, &[record], None).await;
    listed.expect("stored");
}

/// Stores the submission of job 1 with the given number of tasks.
async fn submit(store: &MemoryStore, count: u32) {
    let value = encode(&submission(count)).expect("a record");
    write_submission(store, "0000000000000001", value).await;
}

/// Returns a submission of a job with one step of the given number of tasks.
pub(crate) fn submission(count: u32) -> Submission {
    let step = StepSpec {
        count,
        need: Resources::new(100, 100),
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    Submission {
        queue: QueueConfig {
            name: "plans".into(),
            service: "desk".into(),
            priority: 0,
            attempts_max: 3,
            stretch: 2.0,
            target_latency_ms: 1_000,
            advice: None,
        },
        spec: JobSpec {
            payload: "work".into(),
            steps: vec![step],
            schedule: None,
        },
        accepted_unix_ms: 0,
        entry_domain: None,
    }
}

/// Stores a record under the id of a job.
pub(crate) async fn write_submission(store: &MemoryStore, key: &str, value: Bytes) {
    let record = KeyedRecord {
        key: key.into(),
        value,
    };
    let partition = job_submission_partition(key, 1);
    let stored = store.append(partition, &[record], None).await;
    stored.expect("stored");
}

/// Sends heartbeats as a member of the group of hosts does.
async fn send_heartbeats(context: Arc<OwnerContext>) {
    let group = Group {
        name: "hosts",
        topic: "keyed.progress",
    };
    loop {
        let ttl = context.settings.membership_ttl;
        let _ = context.store.join(group, "a", ttl, 0).await;
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against TWICE: an owner that was replaced, has nothing to append and doesn't learn of the
/// next owner renews leases as long as the store answers its heartbeats.
#[tokio::test]
async fn a_replaced_owner_that_reaches_the_store_stops_renewing_leases_in_time() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let (near, cut_off) = (RecordingExecutor::new(true), RecordingExecutor::new(false));
    let former = context(&store, "a", &near);
    let heartbeats = tokio::spawn(send_heartbeats(Arc::clone(&former)));
    let replaced = CellOwner::claim(former, 0).await.expect("a claim");
    sleep(MARGIN).await;

    let next = CellOwner::claim(context(&store, "b", &cut_off), 0).await;
    let replaced_at = Instant::now();
    sleep(RENEWAL_RIGHT + MARGIN * 4).await;

    let renewals = near.renewals_after(replaced_at + RENEWAL_RIGHT + MARGIN);
    assert!(next.is_ok());
    assert_eq!(renewals, 0, "renewals of a replaced owner");
    replaced.release("the test is over");
    heartbeats.abort();
}

/// Guards against TWICE: each start carries a lease end. Starts that wait for an executor which answers
/// none extend its lease long after the owner has lost the store and may have been replaced.
#[tokio::test]
async fn an_owner_without_contact_to_the_store_sends_no_start() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    submit(&store, 40).await;
    let executor = RecordingExecutor::new(true);
    let owner = CellOwner::claim(context(&store, "a", &executor), 0).await;
    let owner = owner.expect("a claim");
    let started = Instant::now();
    while executor.starts_after(started) == 0 && started.elapsed() < MARGIN * 10 {
        sleep(Duration::from_millis(10)).await;
    }

    store.set_away(true);
    let lost_at = Instant::now();
    sleep(RENEWAL_RIGHT + MARGIN * 4).await;

    assert!(executor.starts_after(started) > 0);
    let starts = executor.starts_after(lost_at + RENEWAL_RIGHT + MARGIN);
    assert_eq!(starts, 0, "starts without the right to renew");
    owner.release("the test is over");
}

/// Guards against TWICE: heartbeats and reads are taken for a proof of ownership, while the store answers
/// no append of this owner.
#[tokio::test]
async fn an_owner_whose_appends_get_no_answer_stops_renewing_leases_in_time() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let executor = RecordingExecutor::new(true);
    let context = context(&store, "a", &executor);
    let heartbeats = tokio::spawn(send_heartbeats(Arc::clone(&context)));
    let started = Instant::now();
    let owner = CellOwner::claim(context, 0).await.expect("a claim");
    sleep(MARGIN).await;
    let renewals_before = executor.renewals_after(started);

    store.leave_appends_unanswered(owner.epoch());
    let unanswered_at = Instant::now();
    sleep(RENEWAL_RIGHT + MARGIN * 4).await;

    let renewals = executor.renewals_after(unanswered_at + RENEWAL_RIGHT + MARGIN);
    assert!(renewals_before > 0);
    assert!(owner.is_active());
    assert_eq!(renewals, 0, "renewals without an accepted append");
    owner.release("the test is over");
    heartbeats.abort();
}

/// Guards against LOST: an owner that has nothing to append loses its right to renew, and all leases
/// expire.
#[tokio::test]
async fn an_owner_with_nothing_to_append_goes_on_renewing_leases() {
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let executor = RecordingExecutor::new(true);
    let owner = CellOwner::claim(context(&store, "a", &executor), 0).await;
    let owner = owner.expect("a claim");

    sleep(RENEWAL_RIGHT * 5).await;
    let idle_since = Instant::now();
    sleep(MARGIN).await;

    assert!(executor.renewals_after(idle_since) > 0);
    owner.release("the test is over");
}

/// Guards against a start in an evacuated failure domain: the operators' partition can't be read, while
/// the store accepts appends, so the owner doesn't learn of a request.
#[tokio::test]
async fn an_owner_with_an_outdated_view_of_the_requests_starts_nothing_and_renews_leases() {
    const EVACUATE_MAX: Duration = Duration::from_millis(600);
    let store = Arc::new(MemoryStore::default());
    list_executor(&store).await;
    let executor = RecordingExecutor::new(true);
    let operators = OperatorView::new(Some(EVACUATE_MAX));
    operators.confirm(time_since_boot());
    let context = context_with(&store, "a", &executor, operators);
    let operators = Arc::clone(&context.operators);
    let started = Instant::now();
    let owner = CellOwner::claim(context, 0).await.expect("a claim");

    submit(&store, 40).await;
    sleep(EVACUATE_MAX / 2 + MARGIN).await;
    let (in_time, outdated_at) = (executor.starts_after(started), Instant::now());
    sleep(MARGIN).await;
    let outdated = executor.starts_after(outdated_at);
    let renewals = executor.renewals_after(outdated_at);
    operators.confirm(time_since_boot());
    sleep(MARGIN).await;

    assert!(in_time > 0 && executor.starts_after(outdated_at) > 0);
    assert_eq!(outdated, 0, "starts on an outdated view");
    assert!(renewals > 0);
    owner.release("the test is over");
}
