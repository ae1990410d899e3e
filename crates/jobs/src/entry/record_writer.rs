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

/// Appends under way to one partition at once; further records wait and go together.
const APPENDS_AT_ONCE_MAX: usize = 1;
/// The records of one append at most, below the store's limit for a call.
const RECORDS_PER_APPEND_MAX: usize = 100;
/// An append without an answer after this many times the usual time is sent again.
const PATIENCE: f64 = 5.0;
/// The shortest wait for an answer; a repeat to a store that is slow, not silent, makes it slower.
const WAIT_MIN: Duration = Duration::from_millis(400);
/// The longest wait for an answer.
const WAIT_MAX: Duration = Duration::from_millis(1_000);
/// How fast the usual time follows the last one.
const SMOOTHING: f64 = 0.2;
/// How long a record whose outcome is unknown is tried for.
const UNKNOWN_MAX: Duration = Duration::from_millis(1_300);

/// Stores records that may be written twice without harm, many in one append.
///
/// Appends to a partition are carried out one after the other, so a slow store takes more records
/// in fewer calls.
pub struct RecordWriter {
    store: Arc<dyn Store>,
    health: Arc<StoreHealth>,
    queues: Mutex<HashMap<Partition, Queue>>,
    usual_ms: Mutex<f64>,
}

#[derive(Default)]
struct Queue {
    waiting: Vec<Waiting>,
    under_way: usize,
}

struct Waiting {
    record: KeyedRecord,
    answer: oneshot::Sender<Result<(), StoreError>>,
}

impl RecordWriter {
    /// Creates a writer without records.
    pub fn new(store: Arc<dyn Store>, health: Arc<StoreHealth>) -> Self {
        Self {
            store,
            health,
            queues: Mutex::default(),
            usual_ms: Mutex::new(0.0),
        }
    }

    /// Returns whether the store can't be reached from here.
    pub fn is_cut_off(&self) -> bool {
        self.health.is_unreachable()
    }

    /// Returns whether the store is so slow that records should be gathered.
    pub fn is_slow(&self) -> bool {
        self.health.is_slow()
    }

    /// Stores a record.
    ///
    /// # Errors
    /// Says whether the record may be stored all the same.
    pub async fn write(
        self: &Arc<Self>,
        partition: Partition,
        record: KeyedRecord,
    ) -> Result<(), StoreError> {
        if self.health.is_unreachable() {
            return Err(StoreError::NotDone("the store can't be reached".into()));
        }
        let (answer, answered) = oneshot::channel();
        {
            let mut queues = self.lock_queues();
            let queue = queues.entry(partition).or_default();
            queue.waiting.push(Waiting { record, answer });
        }
        self.start_append(partition);
        let gone = || StoreError::Unknown("the writer has ended".into());
        answered.await.unwrap_or_else(|_| Err(gone()))
    }

    /// Begins the next append to a partition if one may begin.
    fn start_append(self: &Arc<Self>, partition: Partition) {
        let mut queues = self.lock_queues();
        let queue = queues.entry(partition).or_default();
        if queue.waiting.is_empty() || queue.under_way >= APPENDS_AT_ONCE_MAX {
            return;
        }
        queue.under_way += 1;
        let count = queue.waiting.len().min(RECORDS_PER_APPEND_MAX);
        let batch: Vec<Waiting> = queue.waiting.drain(..count).collect();
        let writer = Arc::clone(self);
        tokio::spawn(async move {
            writer.append(partition, batch).await;
            if let Some(queue) = writer.lock_queues().get_mut(&partition) {
                queue.under_way -= 1;
            }
            writer.start_append(partition);
        });
    }

    async fn append(&self, partition: Partition, batch: Vec<Waiting>) {
        let (records, answers): (Vec<KeyedRecord>, Vec<_>) = batch
            .into_iter()
            .map(|waiting| (waiting.record, waiting.answer))
            .unzip();
        let result = self.append_until_known(partition, &records).await;
        for answer in answers {
            // A client that has left needs no answer.
            let _ = answer.send(result.clone());
        }
    }

    async fn append_until_known(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
    ) -> Result<(), StoreError> {
        let started = Instant::now();
        let mut wait = self.usual_wait();
        let mut may_be_stored = false;
        loop {
            let sent_at = Instant::now();
            let append = self.store.append(partition, records, None);
            let error = match timeout(wait, append).await {
                Ok(Ok(_)) => {
                    self.note_time(sent_at.elapsed());
                    return Ok(());
                }
                Ok(Err(error)) => error,
                Err(_) => {
                    let late = StoreError::Unknown(format!("no answer within {wait:?}").into());
                    self.health.record_failure(&late);
                    late
                }
            };
            may_be_stored |= !error.had_no_effect();
            if !may_be_stored {
                return Err(error);
            }
            if started.elapsed() >= UNKNOWN_MAX {
                return Err(StoreError::Unknown(error.to_string().into()));
            }
            wait = (wait * 2).min(WAIT_MAX);
        }
    }

    fn usual_wait(&self) -> Duration {
        let usual_ms = *self.usual_ms.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_secs_f64(usual_ms * PATIENCE / 1_000.0).clamp(WAIT_MIN, WAIT_MAX)
    }

    fn note_time(&self, took: Duration) {
        let mut usual_ms = self.usual_ms.lock().unwrap_or_else(PoisonError::into_inner);
        *usual_ms += SMOOTHING * (took.as_secs_f64() * 1_000.0 - *usual_ms);
    }

    fn lock_queues(&self) -> std::sync::MutexGuard<'_, HashMap<Partition, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
