use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::ids::Offset;
use tokio::time::Instant;

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

/// A [`Store`] decorator that counts the calls and records their outcomes in a [`StoreHealth`].
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

#[async_trait]
impl Store for TrackedStore {
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        let call = self.store.append(partition, records, fence);
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
        let call = self.store.join(group, member, ttl, generation);
        let joined = self.track("join", call).await;
        if joined.is_ok() {
            self.health.record_latency(started.elapsed());
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
