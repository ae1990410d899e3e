use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_jobs::admission::CapacityReport;
use dotterelhook_jobs::admission::PoolCapacity;
use dotterelhook_jobs::admission::QueueBacklog;
use dotterelhook_jobs::entry::CapacityAdmission;
use dotterelhook_jobs::entry::CapacitySource;
use dotterelhook_jobs::entry::EntrySettings;
use dotterelhook_jobs::entry::RecordWriter;
use dotterelhook_jobs::model::FailureDomainName;
use dotterelhook_jobs::model::JobId;
use dotterelhook_jobs::model::JobSpec;
use dotterelhook_jobs::model::QueueConfig;
use dotterelhook_jobs::model::StepSpec;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_types::CallError;
use dotterelhook_types::sizes::Resources;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fake_store::FakeStore;

/// How long the clients of the deployments wait.
const WAIT: Duration = Duration::from_secs(3);

/// The owner of a cell whose backlog takes a minute.
#[derive(Default)]
struct FakeOwner {
    known: Mutex<Vec<JobId>>,
    is_away: AtomicBool,
}

impl FakeOwner {
    fn check_reachable(&self) -> Result<(), CallError> {
        match self.is_away.load(Ordering::Relaxed) {
            true => Err(CallError::not_run("the owner is away")),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl CapacitySource for FakeOwner {
    async fn capacity(
        &self,
        _: u32,
        _: Option<&FailureDomainName>,
        _: Duration,
    ) -> Result<CapacityReport, CallError> {
        self.check_reachable()?;
        Ok(CapacityReport {
            backlogs: vec![QueueBacklog {
                queue: "quick".into(),
                in_time_ms: 60_000,
                all_ms: 60_000,
                typical_ratio: 1.0,
                ratio_spread: 1.0,
            }],
            pools: vec![PoolCapacity {
                service: "desk".into(),
                most_free: Resources::default(),
            }],
        })
    }

    async fn is_known(&self, id: JobId, _: Duration) -> Result<bool, CallError> {
        self.check_reachable()?;
        Ok(self.known.lock().expect("a lock").contains(&id))
    }
}

/// An entry host whose store works, and which has a recent report of the shortage.
struct Host {
    owner: Arc<FakeOwner>,
    health: Arc<StoreHealth>,
    admission: CapacityAdmission,
}

impl Host {
    async fn new() -> Self {
        Self::with_settings(EntrySettings::default()).await
    }

    async fn with_settings(settings: EntrySettings) -> Self {
        let owner = Arc::new(FakeOwner::default());
        let store: Arc<dyn Store> = FakeStore::with_outcomes(&[]);
        let health = Arc::new(StoreHealth::default());
        let writer = Arc::new(RecordWriter::new(store, Arc::clone(&health)));
        let owners = Arc::clone(&owner) as Arc<dyn CapacitySource>;
        let host = Self {
            admission: CapacityAdmission::new(owners, writer, None, 1, settings),
            owner,
            health,
        };
        assert!(host.is_admitted(99).await, "without a report");
        sleep(Duration::from_millis(10)).await;
        host
    }

    async fn is_admitted(&self, number: u64) -> bool {
        let spec = JobSpec {
            payload: "work".into(),
            steps: vec![StepSpec {
                count: 10,
                need: Resources::new(8_000, 1_000),
                estimate_ms: 800,
                ..StepSpec::default()
            }],
            schedule: None,
        };
        let queue = QueueConfig {
            name: "quick".into(),
            service: "desk".into(),
            priority: 0,
            attempts_max: 3,
            stretch: 1.5,
            target_latency_ms: 300,
            advice: None,
        };
        let deadline = Instant::now() + WAIT;
        let id = job(number);
        let refusal = self.admission.assess(id, &spec, &queue);
        let admitted = self.admission.admit(id, &queue.name, refusal, deadline);
        admitted.await.is_ok()
    }
}

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an id")
}

#[tokio::test(start_paused = true)]
async fn shortage_refuses_a_new_submission_at_once() {
    let host = Host::new().await;
    let began = Instant::now();

    let is_admitted = host.is_admitted(1).await;

    assert!(!is_admitted);
    assert!(began.elapsed() < Duration::from_millis(500));
}

#[tokio::test(start_paused = true)]
async fn shortage_refuses_nothing_in_a_deployment_that_does_not_ask_for_it() {
    let host = Host::with_settings(EntrySettings {
        refuses_for_capacity: false,
        ..EntrySettings::default()
    });

    assert!(host.await.is_admitted(1).await);
}

/// Guards against the refusal of a job whose earlier submission may run.
#[tokio::test(start_paused = true)]
async fn shortage_refuses_no_repeat_of_a_submission_that_may_be_stored() {
    let host = Host::new().await;
    host.owner.known.lock().expect("a lock").push(job(2));

    let began_here = host.is_admitted(99).await;
    let known_to_the_owner = host.is_admitted(2).await;

    assert!(began_here);
    assert!(known_to_the_owner);
}

/// Guards against the refusal of a repeat whose first submission is stored while the host asks.
#[tokio::test(start_paused = true)]
async fn shortage_waits_for_a_submission_that_another_host_is_storing() {
    let host = Host::new().await;
    let owner = Arc::clone(&host.owner);
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        owner.known.lock().expect("a lock").push(job(3));
    });

    assert!(host.is_admitted(3).await);
}

/// Guards against refusals while a submission may take long to be stored and read.
#[tokio::test(start_paused = true)]
async fn shortage_refuses_nothing_while_the_store_is_slow_or_the_owner_is_away() {
    let slow = Host::new().await;
    for _ in 0..20 {
        slow.health.record_latency(Duration::from_millis(500));
    }
    let away = Host::new().await;
    away.owner.is_away.store(true, Ordering::Relaxed);

    assert!(slow.health.is_slow());
    assert!(slow.is_admitted(1).await);
    assert!(away.is_admitted(1).await);
}

/// Guards against refusals by a report of an owner that does not answer any more.
#[tokio::test(start_paused = true)]
async fn shortage_that_was_reported_over_two_seconds_ago_refuses_nothing() {
    let host = Host::new().await;
    sleep(Duration::from_millis(1_900)).await;

    let within_two_seconds = host.is_admitted(4).await;
    sleep(Duration::from_millis(5_000)).await;
    let later = host.is_admitted(5).await;

    assert!(!within_two_seconds);
    assert!(later, "the report is too old");
}
