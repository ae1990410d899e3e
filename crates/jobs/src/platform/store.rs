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

/// One partition of a keyed topic: an append-only log that keeps the newest record of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// The topic.
    pub topic: &'static str,
    /// The partition's number, from 0.
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
    /// What the record is about.
    pub key: Box<str>,
    /// The content; an empty one drops the key.
    pub value: Bytes,
}

/// Lets the store refuse the appends of a replaced writer and drop repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The writer's generation; a lower one than the store has seen is refused.
    pub epoch: Epoch,
    /// The writer's count of its appends in this generation.
    pub sequence: Sequence,
}

/// Where appended records stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendAck {
    /// The offset of the first record.
    pub first_offset: Offset,
    /// The offset that the next record of the partition will get.
    pub end_offset: Offset,
}

/// Records read from an offset on.
#[derive(Clone, Debug, Default)]
pub struct ReadPage {
    /// The records in the order of the log.
    pub records: Vec<KeyedRecord>,
    /// The offset to read from next.
    pub next_offset: Offset,
}

/// Some of the newest records of each key; pages are not a snapshot.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The records in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// Whether there are keys after the last one.
    pub has_more: bool,
    /// The offset that the next record of the partition will get.
    pub end_offset: Offset,
}

/// Members that share the partitions of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group.
    pub name: &'static str,
    /// The topic whose partitions are shared.
    pub topic: &'static str,
}

/// What a member of a group was given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupAssignment {
    /// Rises with each change of the group.
    pub generation: u64,
    /// The partitions that are this member's.
    pub partitions: Vec<u32>,
}

/// A member of a group with one of its partitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionOwner {
    /// The partition's number.
    pub number: u32,
    /// The member, as it named itself.
    pub member: Box<str>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing: it was busy, or could not be reached.
    NotDone(Box<str>),
    /// No answer; the call may take effect, also later.
    Unknown(Box<str>),
    /// A writer of a later generation has appended.
    Fenced,
    /// The append does not follow the writer's last one.
    OutOfSequence,
    /// The records asked for have been deleted.
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
            Self::Unknown(cause) => write!(f, "outcome unknown: {cause}"),
            Self::Fenced => f.write_str("a later writer has taken over"),
            Self::OutOfSequence => f.write_str("the append is out of sequence"),
            Self::Expired => f.write_str("the records have been deleted"),
        }
    }
}

impl Error for StoreError {}

/// The platform's store: keyed topics, and groups whose members share partitions.
#[async_trait]
pub trait Store: Send + Sync {
    /// Appends records, all or none.
    ///
    /// A fenced append that is repeated with the same sequence takes effect once.
    ///
    /// # Errors
    /// Says whether the records may stand in the log all the same.
    async fn append(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        fence: Option<Fence>,
    ) -> Result<AppendAck, StoreError>;

    /// Reads from an offset on; waits up to `hold` for a record.
    ///
    /// # Errors
    /// [`StoreError::Expired`] if the records have been deleted.
    async fn read(
        &self,
        partition: Partition,
        from: Offset,
        hold: Duration,
    ) -> Result<ReadPage, StoreError>;

    /// Reads the newest record of each key after the given one.
    ///
    /// # Errors
    /// The store can't be reached or did not answer in time.
    async fn newest(
        &self,
        partition: Partition,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError>;

    /// Joins a group, or stays in it for another `ttl`.
    ///
    /// # Errors
    /// The store can't be reached or did not answer in time.
    async fn join(
        &self,
        group: Group,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> Result<GroupAssignment, StoreError>;

    /// Leaves the group.
    ///
    /// # Errors
    /// The store can't be reached or did not answer in time.
    async fn leave(&self, group: Group, member: &str) -> Result<(), StoreError>;

    /// Returns the members of the group with their partitions.
    ///
    /// # Errors
    /// The store can't be reached or did not answer in time.
    async fn owners(&self, group: Group) -> Result<Vec<PartitionOwner>, StoreError>;
}
