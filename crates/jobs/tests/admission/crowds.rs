use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_jobs::entry::RecordForwarder;
use dotterelhook_jobs::entry::RecordRouter;
use dotterelhook_jobs::entry::RecordWriter;
use dotterelhook_jobs::observe::JobMetrics;
use dotterelhook_jobs::ownership::job_submission_partition;
use dotterelhook_jobs::platform::Group;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::Partition;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::platform::StoreError;
use dotterelhook_jobs::store_access::StoreHealth;
use dotterelhook_jobs::store_access::TrackedStore;
use dotterelhook_types::CallError;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::serial_store::SerialStore;

/// The hosts that take clients' calls, beside the owner.
const HOSTS: usize = 30;
/// The time that a client waits, less the margins of the entry point.
const CLIENT_WAIT: Duration = Duration::from_millis(2_900);
/// The latency of a call between two hosts.
const HOP: Duration = Duration::from_millis(8);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const GROUP: Group = Group {
    name: "hosts",
    topic: "keyed.progress",
};

/// A host's access to the store, with the heartbeats by which it measures the store's speed.
struct Host {
    writer: Arc<RecordWriter>,
}

impl Host {
    fn start(store: &Arc<SerialStore>) -> Self {
        let health = Arc::new(StoreHealth::default());
        let store = Arc::clone(store) as Arc<dyn Store>;
        let tracked = TrackedStore::new(store, Arc::clone(&health), JobMetrics::default());
        let store: Arc<dyn Store> = Arc::new(tracked);
        let heartbeats = Arc::clone(&store);
        tokio::spawn(async move {
            loop {
                let store = Arc::clone(&heartbeats);
                tokio::spawn(async move {
                    let joined = store.join(GROUP, "member", HEARTBEAT_INTERVAL, 0);
                    let _ = timeout(Duration::from_secs(1), joined).await;
                });
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        let writer = Arc::new(RecordWriter::new(store, health));
        Self { writer }
    }

    fn router(&self, owner: &Self) -> RecordRouter {
        let owner = OwnerLink(Arc::clone(&owner.writer));
        RecordRouter::new(Arc::clone(&self.writer), Arc::new(owner))
    }
}

/// Reaches the owner of the cell without a network.
struct OwnerLink(Arc<RecordWriter>);

#[async_trait]
impl RecordForwarder for OwnerLink {
    async fn forward(
        &self,
        _: u32,
        partition: Partition,
        record: &KeyedRecord,
        wait: Duration,
    ) -> Result<(), CallError> {
        let deadline = Instant::now() + wait;
        sleep(HOP).await;
        let written = self.0.write(partition, record.clone(), deadline - HOP * 2);
        let written = written.await;
        sleep(HOP).await;
        written.map_err(|error| match error.had_no_effect() {
            true => CallError::not_run(error.to_string()),
            false => CallError::may_have_run(error.to_string()),
        })
    }
}

/// One answered submission.
#[derive(Debug)]
struct Answer {
    key: Box<str>,
    took: Duration,
    result: Result<(), StoreError>,
}

/// Submits a record every `interval` at one host after the other, and returns all answers.
async fn submit(
    routers: &[Arc<RecordRouter>],
    interval: Duration,
    numbers: Range<usize>,
) -> Vec<Answer> {
    let mut calls = Vec::new();
    for number in numbers {
        let router = Arc::clone(&routers[number % routers.len()]);
        calls.push(tokio::spawn(async move {
            let key: Box<str> = format!("{number:016x}").into();
            let started_at = Instant::now();
            let record = KeyedRecord {
                key: key.clone(),
                value: "1".into(),
            };
            let partition = job_submission_partition(&key, 1);
            let deadline = started_at + CLIENT_WAIT;
            let result = router.store(0, partition, record, deadline).await;
            Answer {
                key,
                took: started_at.elapsed(),
                result,
            }
        }));
        sleep(interval).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await.expect("no panic"));
    }
    answers
}

fn routers(store: &Arc<SerialStore>) -> Vec<Arc<RecordRouter>> {
    let owner = Host::start(store);
    let hosts = (0..HOSTS).map(|_| Host::start(store));
    hosts.map(|host| Arc::new(host.router(&owner))).collect()
}

async fn assert_refused_records_are_not_stored(store: &SerialStore, answers: &[Answer]) {
    sleep(Duration::from_secs(10)).await;
    for answer in answers {
        let is_stored = store.contains(&answer.key);
        match &answer.result {
            Ok(()) => assert!(is_stored, "{answer:?}"),
            Err(error) if error.had_no_effect() => assert!(!is_stored, "{answer:?}"),
            Err(_) => {}
        }
    }
}

fn share(answers: &[Answer], matches: impl Fn(&Answer) -> bool) -> f64 {
    let count = answers.iter().filter(|answer| matches(answer)).count();
    count as f64 / answers.len() as f64
}

/// Guards against repeats that fill the store's queues when it turns slow under a burst: its
/// partitions then work on records that nobody waits for.
#[tokio::test(start_paused = true)]
async fn store_slower_by_98_in_a_burst_takes_what_is_submitted_within_the_clients_wait() {
    let store = SerialStore::new();
    let routers = routers(&store);
    sleep(Duration::from_secs(2)).await;

    store.set_slowdown(98);
    let answers = submit(&routers, Duration::from_millis(25), 0..176).await;

    let stored = share(&answers, |answer| answer.result.is_ok());
    let unknown = share(&answers, |answer| {
        matches!(answer.result, Err(StoreError::Unknown(_)))
    });
    assert!(stored >= 2.0 / 3.0, "{stored:.2} stored");
    assert!(unknown <= 0.05, "{unknown:.2} without a certain answer");
    assert_refused_records_are_not_stored(&store, &answers).await;
}

/// Guards against waiting for a store that can't take the record in time.
#[tokio::test(start_paused = true)]
async fn store_slower_than_the_clients_wait_refuses_at_once_what_it_can_not_take() {
    let store = SerialStore::new();
    let routers = routers(&store);
    sleep(Duration::from_secs(2)).await;
    store.set_slowdown(1_000);
    submit(&routers, Duration::from_millis(25), 0..100).await;

    let answers = submit(&routers, Duration::from_millis(25), 100..140).await;

    let refused_at_once = share(&answers, |answer| {
        let is_refused = matches!(answer.result, Err(StoreError::NotDone(_)));
        is_refused && answer.took <= Duration::from_millis(100)
    });
    assert!(refused_at_once >= 0.9, "{refused_at_once:.2}");
    assert_refused_records_are_not_stored(&store, &answers).await;
}

/// Guards against a slow store that stays slow for clients after it has recovered.
#[tokio::test(start_paused = true)]
async fn store_back_at_its_usual_speed_is_used_directly_within_a_second() {
    let store = SerialStore::new();
    let routers = routers(&store);
    sleep(Duration::from_secs(2)).await;
    store.set_slowdown(98);
    submit(&routers, Duration::from_millis(25), 0..80).await;
    store.set_slowdown(1);
    sleep(Duration::from_secs(1)).await;
    let (before, _) = store.append_counts();

    let answers = submit(&routers, Duration::from_millis(25), 100..140).await;

    let (after, _) = store.append_counts();
    let prompt = share(&answers, |answer| {
        answer.result.is_ok() && answer.took <= Duration::from_millis(50)
    });
    assert!(
        prompt >= 1.0,
        "{prompt:.2} of the records are stored promptly"
    );
    assert!(after - before >= 40, "{} appends", after - before);
}

/// Guards against waiting for a lost answer as if the store were slow, because an answer to a heartbeat
/// was lost as well.
#[tokio::test(start_paused = true)]
async fn store_that_loses_a_third_of_its_answers_stores_each_record_within_the_clients_wait() {
    let store = SerialStore::new();
    let routers = routers(&store);
    sleep(Duration::from_secs(2)).await;

    store.set_loses_one_of(3);
    let answers = submit(&routers, Duration::from_millis(25), 0..176).await;

    let stored = share(&answers, |answer| answer.result.is_ok());
    let within_half = share(&answers, |answer| answer.took <= CLIENT_WAIT / 2);
    assert!(stored >= 0.99, "{stored:.2} stored");
    assert!(
        within_half >= 0.9,
        "{within_half:.2} within half of the wait"
    );
    assert_refused_records_are_not_stored(&store, &answers).await;
}
