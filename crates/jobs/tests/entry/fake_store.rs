use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
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
use tokio::time::sleep;

/// What becomes of an append.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    /// It is answered after a time.
    After(Duration),
    /// It is stored, but nobody is told.
    AnswerLost,
    /// The store is busy.
    Refused,
}

/// A store in memory whose appends go as they are told, then at once.
#[derive(Default)]
pub(crate) struct FakeStore {
    fates: Mutex<VecDeque<Fate>>,
    appends: Mutex<Vec<Vec<Box<str>>>>,
    at_once: Mutex<(usize, usize)>,
}

impl FakeStore {
    pub(crate) fn with(fates: &[Fate]) -> Arc<Self> {
        let store = Self::default();
        *store.fates.lock().expect("no panic") = fates.iter().copied().collect();
        Arc::new(store)
    }

    /// Returns the keys of each append that was carried out.
    pub(crate) fn appends(&self) -> Vec<Vec<Box<str>>> {
        self.appends.lock().expect("no panic").clone()
    }

    /// Returns the most appends that were under way at once.
    pub(crate) fn most_at_once(&self) -> usize {
        self.at_once.lock().expect("no panic").1
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn append(
        &self,
        _: Partition,
        records: &[KeyedRecord],
        _: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        {
            let mut at_once = self.at_once.lock().expect("no panic");
            at_once.0 += 1;
            at_once.1 = at_once.1.max(at_once.0);
        }
        let fate = self.fates.lock().expect("no panic").pop_front();
        let keys = records.iter().map(|record| record.key.clone()).collect();
        let result = match fate.unwrap_or(Fate::After(Duration::from_millis(4))) {
            Fate::After(time) => {
                sleep(time).await;
                self.appends.lock().expect("no panic").push(keys);
                Ok(AppendAck {
                    first_offset: Offset(0),
                    end_offset: Offset(1),
                })
            }
            Fate::AnswerLost => {
                self.appends.lock().expect("no panic").push(keys);
                self.at_once.lock().expect("no panic").0 -= 1;
                std::future::pending().await
            }
            Fate::Refused => Err(StoreError::NotDone("busy".into())),
        };
        self.at_once.lock().expect("no panic").0 -= 1;
        result
    }

    async fn read(&self, _: Partition, from: Offset, _: Duration) -> Result<ReadPage, StoreError> {
        Ok(ReadPage {
            records: Vec::new(),
            next_offset: from,
        })
    }

    async fn newest(&self, _: Partition, _: Option<&str>) -> Result<NewestPage, StoreError> {
        Ok(NewestPage::default())
    }

    async fn join(
        &self,
        _: Group,
        _: &str,
        _: Duration,
        _: u64,
    ) -> Result<GroupAssignment, StoreError> {
        Ok(GroupAssignment::default())
    }

    async fn leave(&self, _: Group, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn owners(&self, _: Group) -> Result<Vec<PartitionOwner>, StoreError> {
        Ok(Vec::new())
    }
}
