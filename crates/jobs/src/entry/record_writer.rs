use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::Store;
use crate::platform::StoreError;
use crate::store_access::StoreHealth;

/// The largest number of concurrent appends to one partition; further records wait and share the
/// next append.
const CONCURRENT_APPENDS_MAX: usize = 1;
/// The largest number of records in one append, below the store's limit for a call.
const RECORDS_PER_APPEND_MAX: usize = 100;
/// The timeout of an append as a multiple of the mean latency; after the timeout the append is
/// sent again.
const TIMEOUT_FACTOR: f64 = 5.0;
/// The shortest timeout of an append: retries slow down a store that is slow but not silent.
const APPEND_TIMEOUT_MIN: Duration = Duration::from_millis(400);
/// The longest timeout of an append.
const APPEND_TIMEOUT_MAX: Duration = Duration::from_millis(1_000);
/// The weight of the newest latency in the mean latency.
const LATENCY_SMOOTHING: f64 = 0.2;
/// How long an append with an unknown outcome is retried.
const UNKNOWN_RETRY_MAX: Duration = Duration::from_millis(1_300);

/// Stores records in batches; writing a record must be idempotent, because appends are retried.
///
/// Only one append to a partition is in flight at a time, so a slow store gets fewer and larger
/// appends.
pub struct RecordWriter {
    store: Arc<dyn Store>,
    health: Arc<StoreHealth>,
    queues: Mutex<HashMap<Partition, PartitionQueue>>,
    mean_latency_ms: Mutex<f64>,
}

#[derive(Default)]
struct PartitionQueue {
    pending: Vec<PendingRecord>,
    in_flight: usize,
}

struct PendingRecord {
    record: KeyedRecord,
    reply: oneshot::Sender<Result<(), StoreError>>,
}

impl RecordWriter {
    /// Creates a writer that appends to `store` and reports time-outs to `health`.
    pub fn new(store: Arc<dyn Store>, health: Arc<StoreHealth>) -> Self {
        Self {
            store,
            health,
            queues: Mutex::default(),
            mean_latency_ms: Mutex::new(0.0),
        }
    }

    /// Returns whether the store can't be reached from this process.
    pub fn is_store_unreachable(&self) -> bool {
        self.health.is_unreachable()
    }

    /// Returns whether the store is so slow that the owner of a cell should batch the records of
    /// all hosts.
    pub fn is_store_slow(&self) -> bool {
        self.health.is_slow()
    }

    /// Stores a record in the next append to its partition.
    ///
    /// # Errors
    /// Returns [`StoreError::Unknown`] if the record may be stored nevertheless. After any other
    /// error the record is certainly not stored.
    pub async fn write(
        self: &Arc<Self>,
        partition: Partition,
        record: KeyedRecord,
    ) -> Result<(), StoreError> {
        if self.health.is_unreachable() {
            return Err(StoreError::NotDone("the store can't be reached".into()));
        }
        let (reply, result) = oneshot::channel();
        {
            let mut queues = self.lock_queues();
            let queue = queues.entry(partition).or_default();
            queue.pending.push(PendingRecord { record, reply });
        }
        self.start_append(partition);
        let writer_ended = || StoreError::Unknown("the writer has ended".into());
        result.await.unwrap_or_else(|_| Err(writer_ended()))
    }

    /// Starts the next append to a partition if records are pending and no append is in flight.
    fn start_append(self: &Arc<Self>, partition: Partition) {
        let mut queues = self.lock_queues();
        let queue = queues.entry(partition).or_default();
        if queue.pending.is_empty() || queue.in_flight >= CONCURRENT_APPENDS_MAX {
            return;
        }
        queue.in_flight += 1;
        let count = queue.pending.len().min(RECORDS_PER_APPEND_MAX);
        let batch: Vec<PendingRecord> = queue.pending.drain(..count).collect();
        let writer = Arc::clone(self);
        tokio::spawn(async move {
            writer.append(partition, batch).await;
            if let Some(queue) = writer.lock_queues().get_mut(&partition) {
                queue.in_flight -= 1;
            }
            writer.start_append(partition);
        });
    }

    async fn append(&self, partition: Partition, batch: Vec<PendingRecord>) {
        let (records, replies): (Vec<KeyedRecord>, Vec<_>) = batch
            .into_iter()
            .map(|pending| (pending.record, pending.reply))
            .unzip();
        let result = self.append_until_resolved(partition, &records).await;
        for reply in replies {
            // A caller that no longer waits needs no result.
            let _ = reply.send(result.clone());
        }
    }

    async fn append_until_resolved(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
    ) -> Result<(), StoreError> {
        let started_at = Instant::now();
        let mut append_timeout = self.append_timeout();
        let mut may_be_stored = false;
        loop {
            let sent_at = Instant::now();
            let append = self.store.append(partition, records, None);
            let error = match timeout(append_timeout, append).await {
                Ok(Ok(_)) => {
                    self.record_latency(sent_at.elapsed());
                    return Ok(());
                }
                Ok(Err(error)) => error,
                Err(_) => {
                    let timed_out =
                        StoreError::Unknown(format!("no answer within {append_timeout:?}").into());
                    self.health.record_failure(&timed_out);
                    timed_out
                }
            };
            may_be_stored |= !error.had_no_effect();
            if !may_be_stored {
                return Err(error);
            }
            if started_at.elapsed() >= UNKNOWN_RETRY_MAX {
                return Err(StoreError::Unknown(error.to_string().into()));
            }
            append_timeout = (append_timeout * 2).min(APPEND_TIMEOUT_MAX);
        }
    }

    fn append_timeout(&self) -> Duration {
        let mean_latency_ms = *self
            .mean_latency_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Duration::from_secs_f64(mean_latency_ms * TIMEOUT_FACTOR / 1_000.0)
            .clamp(APPEND_TIMEOUT_MIN, APPEND_TIMEOUT_MAX)
    }

    fn record_latency(&self, latency: Duration) {
        let mut mean_latency_ms = self
            .mean_latency_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *mean_latency_ms +=
            LATENCY_SMOOTHING * (latency.as_secs_f64() * 1_000.0 - *mean_latency_ms);
    }

    fn lock_queues(&self) -> std::sync::MutexGuard<'_, HashMap<Partition, PartitionQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
