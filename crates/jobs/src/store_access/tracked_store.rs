use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::ids::Offset;
use tokio::time::Instant;
use tokio::time::timeout;

use super::StoreHealth;
use super::time_since_boot;
use crate::observe::JobMetrics;
use crate::platform::AppendAck;
use crate::platform::Fence;
use crate::platform::Group;
use crate::platform::GroupAssignment;
use crate::platform::KeyedRecord;
use crate::platform::NewestPage;
use crate::platform::Partition;
use crate::platform::PartitionOwner;
use crate::platform::ReadPage;
use crate::platform::Store;
use crate::platform::StoreError;

/// The shortest wait for the answer to an append.
const APPEND_PATIENCE_MIN: Duration = Duration::from_millis(400);
/// The longest wait for the answer to an append of a store that answers other calls promptly.
const APPEND_PATIENCE_MAX: Duration = Duration::from_millis(1_000);
/// The wait for the answer to an append as a multiple of the expected latency.
const APPEND_PATIENCE_FACTOR: u32 = 5;
/// The interval at which an overdue append is compared with the store's other answers.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A [`Store`] decorator that counts the calls and records their outcomes in a [`StoreHealth`].
///
/// An append whose answer is overdue is given up once the store answers other calls promptly: the
/// answer is lost. While other calls are slow or silent too, the append stays in flight, because
/// the store executes the appends to a partition one by one, and a repeat would queue behind it.
pub struct TrackedStore {
    store: Arc<dyn Store>,
    health: Arc<StoreHealth>,
    metrics: JobMetrics,
}

impl TrackedStore {
    /// Wraps `store`. All handles of one process share `health` and `metrics`.
    pub fn new(store: Arc<dyn Store>, health: Arc<StoreHealth>, metrics: JobMetrics) -> Self {
        Self {
            store,
            health,
            metrics,
        }
    }

    async fn track<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let sent_at = time_since_boot();
        let started = Instant::now();
        let result = call.await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(StoreError::NotDone(_)) => "not-done",
            Err(StoreError::Rejected(_)) => "rejected",
            Err(StoreError::Unknown(_)) => "unknown",
            Err(StoreError::Fenced) => "fenced",
            Err(StoreError::OutOfSequence) => "out-of-sequence",
            Err(StoreError::Expired) => "expired",
        };
        match &result {
            Err(error @ (StoreError::NotDone(_) | StoreError::Unknown(_))) => {
                self.health.record_failure(error);
            }
            _ => self.health.record_answer(sent_at),
        }
        self.metrics
            .count_store_call(kind, outcome, started.elapsed());
        result
    }
}

impl TrackedStore {
    async fn append_until_lost(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        let sent_at = Instant::now();
        let mut append = self.store.append(partition, records, fence);
        let patience = (self.health.expected_append(sent_at) * APPEND_PATIENCE_FACTOR)
            .clamp(APPEND_PATIENCE_MIN, APPEND_PATIENCE_MAX);
        let mut wait = patience;
        loop {
            if let Ok(result) = timeout(wait, append.as_mut()).await {
                if result.is_ok() {
                    let now = Instant::now();
                    self.health.record_append_latency(sent_at.elapsed(), now);
                }
                return result;
            }
            let cause = format!("no answer to an append within {:?}", sent_at.elapsed());
            if self.health.is_prompt(sent_at, Instant::now()) {
                return Err(StoreError::Unknown(cause.into()));
            }
            if wait == patience {
                self.health.record_failure(&cause);
            }
            wait = OVERDUE_CHECK_INTERVAL;
        }
    }
}

/// A small call in flight; its end is recorded on drop, also if its caller gives it up.
struct SmallCall<'a> {
    health: &'a StoreHealth,
    sent_at: Instant,
}

impl<'a> SmallCall<'a> {
    fn start(health: &'a StoreHealth, sent_at: Instant) -> Self {
        health.record_small_call(sent_at);
        Self { health, sent_at }
    }
}

impl Drop for SmallCall<'_> {
    fn drop(&mut self) {
        self.health.record_small_call_end(self.sent_at);
    }
}

#[async_trait]
impl Store for TrackedStore {
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        let call = self.append_until_lost(partition, records, fence);
        self.track("append", call).await
    }

    async fn read(
        &self,
        partition: Partition,
        from: Offset,
        hold: Duration,
    ) -> Result<ReadPage, StoreError> {
        let call = self.store.read(partition, from, hold);
        self.track("read", call).await
    }

    async fn newest(
        &self,
        partition: Partition,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let call = self.store.newest(partition, after);
        self.track("newest", call).await
    }

    async fn join(
        &self,
        group: Group,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> Result<GroupAssignment, StoreError> {
        let started = Instant::now();
        let _in_flight = SmallCall::start(&self.health, started);
        let call = self.store.join(group, member, ttl, generation);
        let joined = self.track("join", call).await;
        if joined.is_ok() {
            self.health.record_small_answer(started, Instant::now());
        }
        joined
    }

    async fn leave(&self, group: Group, member: &str) -> Result<(), StoreError> {
        self.track("leave", self.store.leave(group, member)).await
    }

    async fn owners(&self, group: Group) -> Result<Vec<PartitionOwner>, StoreError> {
        self.track("owners", self.store.owners(group)).await
    }
}
