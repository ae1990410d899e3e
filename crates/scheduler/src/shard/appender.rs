use dotterelhook_state::shard::ShardEvent;
use dotterelhook_state::shard::ShardRecord;
use dotterelhook_types::ids::Epoch;
use dotterelhook_types::ids::HostId;
use dotterelhook_types::ids::Incarnation;
use dotterelhook_types::ids::Sequence;

const RETRY_AFTER_FAILURE_MS: u64 = 1_000;
const RETRY_AFTER_SUCCESS_MS: u64 = 10_000;

/// Holds one batch of records until it was read back.
///
/// A batch whose answer was lost is appended again with the same sequences; the fold drops
/// the repeat.
pub(super) struct Appender {
    host: HostId,
    incarnation: Incarnation,
    last_sequence: Sequence,
    batch: Vec<Box<str>>,
    is_in_flight: bool,
    retry_at_ms: u64,
}

impl Appender {
    /// Creates an appender without a batch.
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

    /// Returns whether the last batch has not been read back yet.
    pub(super) fn is_busy(&self) -> bool {
        !self.batch.is_empty()
    }

    /// Takes the next batch; the one before must have been read back or given up.
    pub(super) fn set_batch(&mut self, epoch: Epoch, events: Vec<ShardEvent>) {
        self.retry_at_ms = 0;
        self.batch = events
            .into_iter()
            .map(|event| self.encode(epoch, event))
            .collect();
    }

    /// Returns the batch if it is time to append it, and counts it as in flight.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Option<Vec<Box<str>>> {
        if self.batch.is_empty() || self.is_in_flight || now_ms < self.retry_at_ms {
            return None;
        }
        self.is_in_flight = true;
        Some(self.batch.clone())
    }

    /// Notes that an append ended; the batch stays until it is read back.
    pub(super) fn note_result(&mut self, is_ok: bool, now_ms: u64) {
        self.is_in_flight = false;
        let pause_ms = if is_ok {
            RETRY_AFTER_SUCCESS_MS
        } else {
            RETRY_AFTER_FAILURE_MS
        };
        self.retry_at_ms = now_ms + pause_ms;
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
