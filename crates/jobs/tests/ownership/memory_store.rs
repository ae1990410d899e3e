use std::collections::BTreeMap;
use std::collections::HashMap;
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
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Offset;
use tokio::time::Instant;
use tokio::time::sleep;

/// The partitions of each topic.
const PARTITIONS: u32 = 8;
/// The time of an answer.
const ANSWER: Duration = Duration::from_millis(1);
/// The pause of a waiting read between looks.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// A store in memory; members of its group never expire, so that only what hosts do counts.
#[derive(Default)]
pub(crate) struct MemoryStore {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    is_away: bool,
    answer: Option<Duration>,
    logs: HashMap<Partition, Vec<KeyedRecord>>,
    epochs: HashMap<Partition, Epoch>,
    members: Vec<Box<str>>,
    /// The only member with partitions, if the group is told so.
    holder: Option<Box<str>>,
    /// The host whose member gets the first partition, if the group is told so.
    first: Option<Box<str>>,
    reads: HashMap<&'static str, u32>,
}

impl MemoryStore {
    pub(crate) fn set_away(&self, is_away: bool) {
        self.lock().is_away = is_away;
    }

    /// Gives all partitions to the members of one host.
    pub(crate) fn give_all_to(&self, host: &str) {
        self.lock().holder = Some(host.into());
    }

    /// Gives the first partition to a host.
    pub(crate) fn give_first_to(&self, host: &str) {
        self.lock().first = Some(host.into());
    }

    /// Sets the time of an answer.
    pub(crate) fn set_answer(&self, answer: Duration) {
        self.lock().answer = Some(answer);
    }

    /// Returns how many records a topic holds.
    pub(crate) fn len_of(&self, topic: &str) -> usize {
        let state = self.lock();
        let logs = state.logs.iter();
        let of_topic = logs.filter(|(partition, _)| partition.topic == topic);
        of_topic.map(|(_, log)| log.len()).sum()
    }

    /// Returns how often a topic was read in full.
    pub(crate) fn reads_of(&self, topic: &str) -> u32 {
        self.lock().reads.get(topic).copied().unwrap_or_default()
    }

    /// Returns the highest epoch that any partition has seen.
    pub(crate) fn newest_epoch(&self) -> Epoch {
        let state = self.lock();
        state.epochs.values().copied().max().unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    async fn answered(&self) -> Result<MutexGuard<'_, State>, StoreError> {
        let answer = self.lock().answer.unwrap_or(ANSWER);
        sleep(answer).await;
        let state = self.lock();
        match state.is_away {
            true => Err(StoreError::NotDone("away".into())),
            false => Ok(state),
        }
    }
}

impl State {
    fn holders(&self) -> Vec<&str> {
        let members = self.members.iter().map(|member| &**member);
        let holds = |member: &&str| match &self.holder {
            Some(host) => member.starts_with(&**host),
            None => true,
        };
        let mut holders: Vec<&str> = members.filter(holds).collect();
        if let Some(first) = &self.first {
            holders.sort_by_key(|member| !member.starts_with(&**first));
        }
        holders
    }

    fn page_from(&self, partition: Partition, from: Offset) -> ReadPage {
        let log = self.logs.get(&partition).map_or(&[][..], Vec::as_slice);
        ReadPage {
            records: log[from.0 as usize..].to_vec(),
            next_offset: Offset(log.len() as u64),
        }
    }

    fn partitions_of(&self, member: &str) -> Vec<u32> {
        let holders = self.holders();
        let held = (0..PARTITIONS).filter(|number| {
            let turn = *number as usize % holders.len().max(1);
            holders.get(turn).is_some_and(|holder| *holder == member)
        });
        held.collect()
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError> {
        let mut state = self.answered().await?;
        if let Some(fence) = fence {
            let newest = state.epochs.entry(partition).or_default();
            if fence.epoch < *newest {
                return Err(StoreError::Fenced);
            }
            *newest = fence.epoch;
        }
        let log = state.logs.entry(partition).or_default();
        let first_offset = Offset(log.len() as u64);
        log.extend_from_slice(records);
        Ok(AppendAck {
            first_offset,
            end_offset: Offset(log.len() as u64),
        })
    }

    async fn read(
        &self,
        partition: Partition,
        from: Offset,
        hold: Duration,
    ) -> Result<ReadPage, StoreError> {
        let deadline = Instant::now() + hold;
        loop {
            let page = self.answered().await?.page_from(partition, from);
            if !page.records.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            sleep(READ_PAUSE).await;
        }
    }

    async fn newest(
        &self,
        partition: Partition,
        _after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let mut state = self.answered().await?;
        *state.reads.entry(partition.topic).or_default() += 1;
        let log = state.logs.get(&partition).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<&str, &KeyedRecord> =
            log.iter().map(|record| (&*record.key, record)).collect();
        let kept = newest.into_values().filter(|kept| !kept.value.is_empty());
        Ok(NewestPage {
            records: kept.cloned().collect(),
            has_more: false,
            end_offset: Offset(log.len() as u64),
        })
    }

    async fn join(
        &self,
        _group: Group,
        member: &str,
        _ttl: Duration,
        generation: u64,
    ) -> Result<GroupAssignment, StoreError> {
        let mut state = self.answered().await?;
        if !state.members.iter().any(|known| **known == *member) {
            state.members.push(member.into());
        }
        Ok(GroupAssignment {
            generation: generation + 1,
            partitions: state.partitions_of(member),
        })
    }

    async fn leave(&self, _group: Group, member: &str) -> Result<(), StoreError> {
        let mut state = self.answered().await?;
        state.members.retain(|known| **known != *member);
        Ok(())
    }

    async fn owners(&self, _group: Group) -> Result<Vec<PartitionOwner>, StoreError> {
        let state = self.answered().await?;
        let members = state.members.clone();
        let held = members.iter().flat_map(|member| {
            let numbers = state.partitions_of(member).into_iter();
            numbers.map(|number| PartitionOwner {
                number,
                member: member.clone(),
            })
        });
        Ok(held.collect())
    }
}
