use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Sequence;

const FAILED_APPEND_RETRY_MS: u64 = 1_000;
/// Time after a successful append until its batch is appended again if not read back.
const READ_BACK_TIMEOUT_MS: u64 = 10_000;

/// Keeps one batch of records until it has been read back from the log.
///
/// If the answer to an append is lost, the batch is appended again with the same sequence numbers.
/// The fold refuses the duplicates.
pub(super) struct Appender {
    host: HostId,
    incarnation: Incarnation,
    last_sequence: Sequence,
    batch: Vec<Box<str>>,
    is_in_flight: bool,
    retry_at_ms: u64,
}

impl Appender {
    pub(super) fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            last_sequence: Sequence(0),
            batch: Vec::new(),
            is_in_flight: false,
            retry_at_ms: 0,
        }
    }

    /// Returns whether a batch is still to be read back.
    pub(super) fn has_batch(&self) -> bool {
        !self.batch.is_empty()
    }

    /// Encodes the next batch; the previous one must have been read back or discarded.
    pub(super) fn set_batch(&mut self, epoch: Epoch, events: Vec<ShardEvent>) {
        self.retry_at_ms = 0;
        self.batch = events
            .into_iter()
            .map(|event| self.encode(epoch, event))
            .collect();
    }

    /// Returns the batch and marks it as in flight, if an append is due.
    pub(super) fn begin_append(&mut self, now_ms: u64) -> Option<Vec<Box<str>>> {
        if self.batch.is_empty() || self.is_in_flight || now_ms < self.retry_at_ms {
            return None;
        }
        self.is_in_flight = true;
        Some(self.batch.clone())
    }

    /// Ends an append and schedules its retry; the batch is kept until it is read back.
    pub(super) fn finish_append(&mut self, is_ok: bool, now_ms: u64) {
        self.is_in_flight = false;
        let pause_ms = if is_ok {
            READ_BACK_TIMEOUT_MS
        } else {
            FAILED_APPEND_RETRY_MS
        };
        self.retry_at_ms = now_ms + pause_ms;
    }

    /// Drops the batch if `read_sequence` reaches its last record.
    pub(super) fn confirm_read_back(&mut self, read_sequence: Sequence) {
        if read_sequence >= self.last_sequence {
            self.batch.clear();
        }
    }

    /// Drops the batch after another process has taken over the shard.
    pub(super) fn discard_batch(&mut self) {
        self.batch.clear();
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
        let text = serde_json::to_string(&record).expect("a record serializes to JSON");
        text.into()
    }
}
