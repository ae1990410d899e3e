use std::error::Error;
use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterelhook_types::CallError;
use dotterelhook_types::Verdict;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;

/// One partition of a keyed topic: a compacted append-only log that retains at least the latest
/// record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// The name of the topic.
    pub topic: &'static str,
    /// The index of the partition within the topic, from 0.
    pub number: u32,
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.topic, self.number)
    }
}

/// One record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The compaction key.
    pub key: Box<str>,
    /// The content. An empty value is a tombstone: it deletes the key.
    pub value: Bytes,
}

/// A fencing token with a sequence number. With it the store rejects the appends of a replaced
/// writer and deduplicates retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The epoch of the writer. The store rejects an epoch below the highest that it has seen.
    pub epoch: Epoch,
    /// The number of the append within the epoch.
    pub sequence: Sequence,
}

/// The position of appended records in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendAck {
    /// The offset of the first record.
    pub first_offset: Offset,
    /// The offset that the next record of the partition will get.
    pub end_offset: Offset,
}

/// Consecutive records of a log, as returned by [`Store::read`].
#[derive(Clone, Debug, Default)]
pub struct ReadPage {
    /// The records in log order.
    pub records: Vec<KeyedRecord>,
    /// The offset at which the next read continues.
    pub next_offset: Offset,
    /// The offset that the next record of the partition will get, according to this answer.
    pub end_offset: Offset,
}

/// The latest records of some keys, as returned by [`Store::newest`]. Consecutive pages do not form
/// a consistent snapshot.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records in key order.
    pub records: Vec<KeyedRecord>,
    /// Whether further keys follow the last one.
    pub has_more: bool,
    /// The offset that the next record of the partition will get.
    pub end_offset: Offset,
}

/// A consumer group: its live members share the partitions of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// The name of the group.
    pub name: &'static str,
    /// The topic whose partitions are shared.
    pub topic: &'static str,
}

/// The partitions that a group assigned to one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupAssignment {
    /// The generation of the assignment. It increases with every rebalance of the group.
    pub generation: u64,
    /// The indexes of the assigned partitions.
    pub partitions: Vec<u32>,
}

/// The assignment of one partition to a member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionOwner {
    /// The index of the partition.
    pub number: u32,
    /// The name under which the member joined the group.
    pub member: Box<str>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: the store was busy or unreachable.
    NotDone(Box<str>),
    /// The store takes no such call: it had no effect, and a repeat has none either.
    Rejected(Box<str>),
    /// No answer arrived. The call may have taken effect or may still do so.
    Unknown(Box<str>),
    /// A writer with a later epoch has appended.
    Fenced,
    /// The sequence number does not follow the writer's last append.
    OutOfSequence,
    /// The requested records have been deleted.
    Expired,
}

impl StoreError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error.verdict {
            Verdict::NotRun => Self::NotDone(error.cause),
            Verdict::MayHaveRun | Verdict::Ran => Self::Unknown(error.cause),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(cause) => write!(f, "not done: {cause}"),
            Self::Rejected(cause) => write!(f, "rejected: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
            Self::Fenced => f.write_str("a later writer has taken over"),
            Self::OutOfSequence => f.write_str("the append is out of sequence"),
            Self::Expired => f.write_str("the records have been deleted"),
        }
    }
}

impl Error for StoreError {}

/// A client of the platform's store: keyed topics, and groups whose members share partitions.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends records atomically.
    ///
    /// Retrying a fenced append with the same sequence number is idempotent.
    ///
    /// # Errors
    /// [`StoreError::Unknown`] if the records may have been appended or may still be,
    /// [`StoreError::Rejected`] if the store never takes one of them, or all in one call.
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError>;

    /// Reads records from an offset on. At the end of the log, the call waits up to `hold` for the
    /// next record.
    ///
    /// # Errors
    /// [`StoreError::Expired`] if the records at the offset have been deleted.
    async fn read(
        &self,
        partition: Partition,
        from: Offset,
        hold: Duration,
    ) -> Result<ReadPage, StoreError>;

    /// Reads a page of the latest record of each key, starting after the key `after`.
    ///
    /// # Errors
    /// The store is unreachable or did not answer in time.
    async fn newest(
        &self,
        partition: Partition,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError>;

    /// Joins a group, or renews the membership for another `ttl`. `generation` is the generation of
    /// the last assignment that the member received.
    ///
    /// # Errors
    /// The store is unreachable or did not answer in time.
    async fn join(
        &self,
        group: Group,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> Result<GroupAssignment, StoreError>;

    /// Ends the membership in a group.
    ///
    /// # Errors
    /// The store is unreachable or did not answer in time.
    async fn leave(&self, group: Group, member: &str) -> Result<(), StoreError>;

    /// Returns the current assignment of all partitions of a group.
    ///
    /// # Errors
    /// The store is unreachable or did not answer in time.
    async fn owners(&self, group: Group) -> Result<Vec<PartitionOwner>, StoreError>;
}
