use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::admission::AppendBatch;
use crate::admission::AppendQueue;
use crate::admission::Ticket;
use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::Store;
use crate::platform::StoreError;
use crate::platform::StoreLimits;
use crate::store_access::StoreHealth;

/// The pause before an append is repeated, in which the queue of a slow store gets shorter.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// An append is repeated if this multiple of the time that its refusal took is left: without an answer
/// in time, callers can't be told that their record isn't stored.
const REPEAT_TIME_FACTOR: u32 = 2;

/// Stores records in batches; writing a record must be idempotent, because appends are retried.
///
/// Only one append to a partition is in flight at a time, so a slow store gets fewer and larger
/// appends. A record that can't be stored by its deadline is refused at once.
pub struct RecordWriter {
    store: Arc<dyn Store>,
    health: Arc<StoreHealth>,
    limits: StoreLimits,
    queues: Mutex<HashMap<Partition, AppendQueue<PendingRecord>>>,
}

struct PendingRecord {
    record: KeyedRecord,
    reply: oneshot::Sender<Result<(), StoreError>>,
}

impl RecordWriter {
    /// Creates a writer that appends to `store`, whose speed and reachability `health` tells.
    pub fn new(store: Arc<dyn Store>, health: Arc<StoreHealth>) -> Self {
        Self {
            store,
            health,
            limits: StoreLimits::default(),
            queues: Mutex::default(),
        }
    }

    /// Keeps to the given limits of the store instead of the default ones.
    pub fn with_limits(self, limits: StoreLimits) -> Self {
        Self { limits, ..self }
    }

    /// Checks that the store takes a record of this size.
    ///
    /// # Errors
    /// [`StoreError::Rejected`] names the size and the limit.
    pub fn check_size(&self, record: &KeyedRecord) -> Result<(), StoreError> {
        if self.limits.permits(record) {
            return Ok(());
        }
        let size_bytes = StoreLimits::size_bytes(record);
        let max_bytes = self.limits.record_max_bytes;
        let cause = format!("a record of {size_bytes} bytes, of which the store takes {max_bytes}");
        Err(StoreError::Rejected(cause.into()))
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

    /// Returns how long the store has not answered, or zero while it can be reached.
    pub fn outage_age(&self) -> Duration {
        match self.health.is_unreachable() {
            true => self.health.time_since_contact(),
            false => Duration::ZERO,
        }
    }

    /// Stores a record by `deadline`, in the next append to its partition.
    ///
    /// # Errors
    /// Returns [`StoreError::Unknown`] if the record may be stored nevertheless. After any other
    /// error the record is certainly not stored.
    pub async fn write(
        self: &Arc<Self>,
        partition: Partition,
        record: KeyedRecord,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        self.check_size(&record)?;
        if self.health.is_unreachable() {
            return Err(StoreError::NotDone("the store can't be reached".into()));
        }
        let size_bytes = StoreLimits::size_bytes(&record);
        let (reply, result) = oneshot::channel();
        let now = Instant::now();
        let pending = PendingRecord { record, reply };
        let admitted = self.queue(&mut self.lock_queues(), partition).push(
            pending,
            size_bytes,
            deadline,
            self.health.expected_append(now),
            now,
        );
        let ticket = admitted.map_err(|refusal| StoreError::NotDone(refusal.to_string().into()))?;
        let waiting = WaitingRecord {
            writer: self,
            partition,
            ticket,
        };
        self.start_append(partition);
        match timeout_at(deadline, result).await {
            Ok(result) => {
                let writer_ended = || StoreError::Unknown("the writer has ended".into());
                result.unwrap_or_else(|_| Err(writer_ended()))
            }
            Err(_) if waiting.withdraw() => Err(StoreError::NotDone(
                "the append before it has taken all the time".into(),
            )),
            Err(_) => Err(StoreError::Unknown("the append has no answer yet".into())),
        }
    }

    /// Starts the next append to a partition if records wait and no append is in flight.
    fn start_append(self: &Arc<Self>, partition: Partition) {
        let now = Instant::now();
        let append_time = self.health.expected_append(now);
        let mut queues = self.lock_queues();
        let queue = self.queue(&mut queues, partition);
        let Some(AppendBatch {
            records,
            deadline,
            refused,
        }) = queue.begin_append(append_time, now)
        else {
            return;
        };
        drop(queues);
        for (pending, refusal) in refused {
            // A caller that no longer waits needs no result.
            let _ = pending
                .reply
                .send(Err(StoreError::NotDone(refusal.to_string().into())));
        }
        if records.is_empty() {
            return;
        }
        let writer = Arc::clone(self);
        tokio::spawn(async move {
            let appender = Arc::clone(&writer);
            let append =
                tokio::spawn(async move { appender.append(partition, records, deadline).await });
            // After a panic the callers learn that the outcome is unknown, and further appends follow.
            let _ = append.await;
            if let Some(queue) = writer.lock_queues().get_mut(&partition) {
                queue.end_append();
            }
            writer.start_append(partition);
        });
    }

    async fn append(&self, partition: Partition, batch: Vec<PendingRecord>, deadline: Instant) {
        let (records, replies): (Vec<KeyedRecord>, Vec<_>) = batch
            .into_iter()
            .map(|pending| (pending.record, pending.reply))
            .unzip();
        let result = self
            .append_until_resolved(partition, &records, deadline)
            .await;
        let is_rejected = matches!(result, Err(StoreError::Rejected(_)));
        for (record, reply) in records.iter().zip(replies) {
            // The store may reject an append for one of its records.
            let result = match is_rejected && records.len() > 1 {
                true => {
                    let record = std::slice::from_ref(record);
                    self.append_until_resolved(partition, record, deadline)
                        .await
                }
                false => result.clone(),
            };
            // A caller that no longer waits needs no result.
            let _ = reply.send(result);
        }
    }

    /// Repeats an append until its outcome is certain or a further answer would come after `deadline`.
    ///
    /// A slow store refuses appends while its queue is long. They are repeated, since the queue
    /// gets shorter; a refusal by a store at its usual speed is final.
    async fn append_until_resolved(
        &self,
        partition: Partition,
        records: &[KeyedRecord],
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let mut may_be_stored = false;
        loop {
            let sent_at = Instant::now();
            let error = match self.store.append(partition, records, None).await {
                Ok(_) => return Ok(()),
                Err(error) => error,
            };
            may_be_stored |= !error.had_no_effect();
            if matches!(error, StoreError::Rejected(_)) && !may_be_stored {
                return Err(error);
            }
            let repeat_time_max = sent_at.elapsed() * REPEAT_TIME_FACTOR;
            let may_repeat = Instant::now() + REPEAT_PAUSE + repeat_time_max < deadline;
            let is_worth_repeating = may_be_stored || self.health.is_slow();
            if !is_worth_repeating || !may_repeat {
                return Err(match may_be_stored {
                    true => StoreError::Unknown(error.to_string().into()),
                    false => error,
                });
            }
            sleep(REPEAT_PAUSE).await;
        }
    }

    fn queue<'q>(
        &self,
        queues: &'q mut HashMap<Partition, AppendQueue<PendingRecord>>,
        partition: Partition,
    ) -> &'q mut AppendQueue<PendingRecord> {
        let append_max_bytes = self.limits.append_max_bytes;
        let queue = queues.entry(partition);
        queue.or_insert_with(|| AppendQueue::new(append_max_bytes))
    }

    fn lock_queues(&self) -> MutexGuard<'_, HashMap<Partition, AppendQueue<PendingRecord>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A record in the queue of its partition; a record whose caller no longer waits is withdrawn.
struct WaitingRecord<'a> {
    writer: &'a RecordWriter,
    partition: Partition,
    ticket: Ticket,
}

impl WaitingRecord<'_> {
    /// Removes the record from its queue. Returns `false` if an append has taken it.
    fn withdraw(&self) -> bool {
        let mut queues = self.writer.lock_queues();
        let queue = queues.get_mut(&self.partition);
        queue.is_some_and(|queue| queue.withdraw(self.ticket).is_some())
    }
}

impl Drop for WaitingRecord<'_> {
    fn drop(&mut self) {
        self.withdraw();
    }
}
