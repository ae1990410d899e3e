use dotterelhook_platform::log::Log;
use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use spdlog::warn;

/// Appends batches of records to one stream, one batch at a time.
///
/// A batch whose answer was lost is appended again with the same sequences; the fold drops
/// the repeat.
pub(super) struct Appender {
    stream: Box<str>,
    host: HostId,
    incarnation: Incarnation,
    last_sequence: Sequence,
    batch: Vec<Box<str>>,
}

impl Appender {
    /// Creates an appender without a batch.
    pub(super) fn new(stream: Box<str>, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            stream,
            host,
            incarnation,
            last_sequence: Sequence(0),
            batch: Vec::new(),
        }
    }

    /// Returns whether the last batch has not been read back yet.
    pub(super) fn is_busy(&self) -> bool {
        !self.batch.is_empty()
    }

    /// Takes the next batch; the one before must have been read back.
    pub(super) fn set_batch(&mut self, epoch: Epoch, events: Vec<ShardEvent>) {
        self.batch = events
            .into_iter()
            .map(|event| self.encode(epoch, event))
            .collect();
    }

    /// Drops the batch once a record at or beyond its last one was read back.
    pub(super) fn confirm(&mut self, read_sequence: Sequence) {
        if read_sequence >= self.last_sequence {
            self.batch.clear();
        }
    }

    /// Gives the batch up, because the shard was taken over.
    pub(super) fn abandon(&mut self) {
        self.batch.clear();
    }

    /// Appends the batch and returns the offset of its first record.
    pub(super) async fn append(&self, log: &dyn Log) -> Option<Offset> {
        match log.append(&self.stream, &self.batch).await {
            Ok(offset) => Some(offset),
            Err(error) => {
                warn!("shard: append to {} failed: {error}", self.stream);
                None
            }
        }
    }

    fn encode(&mut self, epoch: Epoch, event: ShardEvent) -> Box<str> {
        self.last_sequence = self.last_sequence.next();
        let record = ShardRecord {
            host: self.host.clone(),
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            epoch,
            event,
        };
        let text = serde_json::to_string(&record).expect("records are plain data");
        text.into()
    }
}
