use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_jobs::platform::AppendAck;
use dotterelhook_jobs::platform::Fence;
use dotterelhook_jobs::platform::Group;
use dotterelhook_jobs::platform::GroupAssignment;
use dotterelhook_jobs::platform::KeyedRecord;
use dotterelhook_jobs::platform::NewestPage;
use dotterelhook_jobs::platform::Partition;
use dotterelhook_jobs::platform::PartitionOwner;
use dotterelhook_jobs::platform::ReadPage;
use dotterelhook_jobs::platform::Store;
use dotterelhook_jobs::platform::StoreError;
use dotterelhook_types::ids::Offset;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The time of a call to a store at its usual speed.
const CALL: Duration = Duration::from_millis(4);
/// The wait from which a partition refuses further appends.
const QUEUE_MAX: Duration = Duration::from_secs(2);

/// A store whose partitions execute appends one by one, as the platform's store does: also those
/// whose sender no longer waits.
#[derive(Default)]
pub(crate) struct SerialStore {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    slowdown: u32,
    free_at: HashMap<Partition, Instant>,
    stored: Arc<Mutex<HashSet<Box<str>>>>,
    appends: u32,
    refusals: u32,
    calls: u32,
    /// Of this many calls one gets no answer; 0 for none.
    loses_one_of: u32,
}

impl SerialStore {
    pub(crate) fn new() -> Arc<Self> {
        let store = Self::default();
        store.set_slowdown(1);
        Arc::new(store)
    }

    /// Sets how many times as long each call takes.
    pub(crate) fn set_slowdown(&self, slowdown: u32) {
        self.lock().slowdown = slowdown;
    }

    /// Sets of how many calls one is carried out without an answer.
    pub(crate) fn set_loses_one_of(&self, calls: u32) {
        self.lock().loses_one_of = calls;
    }

    /// Waits for good if the answer to this call is lost.
    async fn answer(&self) {
        let is_lost = {
            let mut state = self.lock();
            state.calls += 1;
            state.calls.is_multiple_of(state.loses_one_of)
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether a record is stored.
    pub(crate) fn contains(&self, key: &str) -> bool {
        let stored = Arc::clone(&self.lock().stored);
        let stored = stored.lock().expect("no panic");
        stored.contains(key)
    }

    /// Returns the numbers of accepted and of refused appends.
    pub(crate) fn append_counts(&self) -> (u32, u32) {
        let state = self.lock();
        (state.appends, state.refusals)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    fn call_time(&self) -> Duration {
        CALL * self.lock().slowdown
    }
}

#[async_trait]
impl Store for SerialStore {
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        _: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        let now = Instant::now();
        let call_time = self.call_time();
        let (done_at, stored) = {
            let mut state = self.lock();
            let free_at = state.free_at.get(&partition).copied().unwrap_or(now);
            if free_at > now + QUEUE_MAX {
                state.refusals += 1;
                return Err(StoreError::NotDone("the queue is full".into()));
            }
            let done_at = free_at.max(now) + call_time;
            state.free_at.insert(partition, done_at);
            state.appends += 1;
            (done_at, Arc::clone(&state.stored))
        };
        let keys: Vec<Box<str>> = records.iter().map(|record| record.key.clone()).collect();
        // A task of its own: the store goes on when the sender gives up.
        tokio::spawn(async move {
            sleep_until(done_at).await;
            stored.lock().expect("no panic").extend(keys);
        });
        sleep_until(done_at).await;
        self.answer().await;
        Ok(AppendAck {
            first_offset: Offset(0),
            end_offset: Offset(0),
        })
    }

    async fn read(&self, _: Partition, from: Offset, _: Duration) -> Result<ReadPage, StoreError> {
        sleep(self.call_time()).await;
        Ok(ReadPage {
            records: Vec::new(),
            next_offset: from,
            end_offset: from,
        })
    }

    async fn newest(&self, _: Partition, _: Option<&str>) -> Result<NewestPage, StoreError> {
        sleep(self.call_time()).await;
        Ok(NewestPage::default())
    }

    async fn join(
        &self,
        _: Group,
        _: &str,
        _: Duration,
        _: u64,
    ) -> Result<GroupAssignment, StoreError> {
        sleep(self.call_time()).await;
        self.answer().await;
        Ok(GroupAssignment::default())
    }

    async fn leave(&self, _: Group, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn owners(&self, _: Group) -> Result<Vec<PartitionOwner>, StoreError> {
        Ok(Vec::new())
    }
}
