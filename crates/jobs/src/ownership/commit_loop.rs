use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterelhook_types::ids::Sequence;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use super::CellOwner;
use super::topics;
use crate::cell::CommitBatch;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::Fence;
use crate::platform::KeyedRecord;
use crate::platform::StoreError;
use crate::platform::StoreLimits;
use crate::store_access::time_since_boot;

/// An owner without records confirms its ownership by an append after this share of the renewal right.
const CONFIRMATION_SHARE: f64 = 0.25;
/// The key of the record that confirms an ownership. Without a value it leaves nothing in the store.
const CONFIRMATION_KEY: &str = "ownership";
/// The first pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after failed appends.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// The write path of a cell owner: places waiting tasks, appends the resulting records to the
/// store, and applies their effects once the records are stored.
pub(super) struct CommitLoop {
    owner: Arc<CellOwner>,
    next_sequence: Sequence,
}

/// What became of an append.
enum AppendOutcome {
    Stored,
    /// Another owner has claimed the cell.
    Replaced,
    /// The store never takes it, for this cause.
    Rejected(Box<str>),
}

impl CommitLoop {
    pub(super) fn new(owner: Arc<CellOwner>, next_sequence: Sequence) -> Self {
        Self {
            owner,
            next_sequence,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            // Timers may be held up by other calls to the store, but a confirmation must not be.
            let woken = self.owner.wake.notified();
            let _ = timeout(self.confirmation_interval(), woken).await;
            let started = Instant::now();
            let Some(batch) = self.next_batch() else {
                continue;
            };
            if !self.append_all(&batch.records).await {
                self.owner.release("the store rejected an append");
                return;
            }
            let has_more = self.owner.with_current_view(|state, now| {
                state.handle_batch_stored(batch, now);
                state.has_pending_batch()
            });
            if has_more {
                self.owner.wake.notify_one();
            }
            self.owner.batch_stored.notify_waiters();
            sleep_until(started + self.owner.context().settings.commit_interval).await;
        }
    }

    /// Places waiting tasks and returns the batch of records to store, if there is any.
    fn next_batch(&self) -> Option<CommitBatch> {
        self.owner.with_current_view(|state, now| {
            // Without the right to renew, the starts could not be sent.
            if self.owner.may_renew() && state.place_waiting_tasks(now) {
                self.owner.wake.notify_one();
            }
            let mut batch = state.has_pending_batch().then(|| state.take_batch(now));
            if self.is_confirmation_due() {
                let batch = batch.get_or_insert_default();
                if batch.records.is_empty() {
                    batch.records.push(KeyedRecord {
                        key: CONFIRMATION_KEY.into(),
                        value: Bytes::new(),
                    });
                }
            }
            batch
        })
    }

    fn is_confirmation_due(&self) -> bool {
        self.owner.time_since_confirmation() >= self.confirmation_interval()
    }

    fn confirmation_interval(&self) -> Duration {
        let right = self.owner.context().settings.renewal_right;
        right.mul_f64(CONFIRMATION_SHARE)
    }

    /// Appends the records of a batch, in as many calls as the store requires. Returns `false` if
    /// another owner has replaced this one.
    ///
    /// The store may take less than its limits say. A rejected append is halved until it is clear which
    /// record can't be stored; the others must not wait for it.
    async fn append_all(&mut self, records: &[KeyedRecord]) -> bool {
        let mut appends = self.owner.context().settings.store_limits.split(records);
        appends.reverse();
        while let Some(append) = appends.pop() {
            match self.append(append).await {
                AppendOutcome::Stored => {}
                AppendOutcome::Replaced => return false,
                AppendOutcome::Rejected(_) if append.len() > 1 => {
                    let (first, second) = append.split_at(append.len() / 2);
                    appends.extend([second, first]);
                }
                AppendOutcome::Rejected(cause) => self.record_rejection(append, &cause),
            }
        }
        true
    }

    fn record_rejection(&self, records: &[KeyedRecord], cause: &str) {
        for record in records {
            let bytes = StoreLimits::size_bytes(record);
            decided!(Decision::RecordRejected, cell: self.owner.cell(), key: record.key, bytes: bytes, cause: cause);
            self.owner.context().metrics.rejected_records.inc();
        }
    }

    /// Retries the append until its outcome is certain.
    async fn append(&mut self, records: &[KeyedRecord]) -> AppendOutcome {
        let fence = Fence {
            epoch: self.owner.epoch(),
            sequence: self.next_sequence,
        };
        let partition = topics::progress_partition(self.owner.cell());
        let mut pause = RETRY_PAUSE;
        // A repeated append may get the answer to its first send.
        let sent_at = time_since_boot();
        let first_sent_at = Instant::now();
        let mut has_failed = false;
        loop {
            let store = &self.owner.context().store;
            match store.append(partition, records, Some(fence)).await {
                Ok(_) => {
                    self.owner.record_confirmation(sent_at);
                    self.owner
                        .with_state(|state| state.confirm_ownership(first_sent_at));
                    self.next_sequence = self.next_sequence.next();
                    return AppendOutcome::Stored;
                }
                Err(StoreError::Fenced | StoreError::OutOfSequence | StoreError::Expired) => {
                    return AppendOutcome::Replaced;
                }
                Err(StoreError::Rejected(cause)) => return AppendOutcome::Rejected(cause),
                Err(error @ (StoreError::NotDone(_) | StoreError::Unknown(_))) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        let bytes: usize = records.iter().map(StoreLimits::size_bytes).sum();
                        decided!(Decision::AppendRepeated, cell: self.owner.cell(), records: records.len(), bytes: bytes, cause: error);
                    }
                    sleep(pause).await;
                    pause = (pause * 2).min(RETRY_PAUSE_MAX);
                }
            }
        }
    }
}
