use std::str::FromStr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::CellOwner;
use super::cell_owner::RETRY_PAUSE;
use super::executor_session::ExecutorSession;
use super::takeover::decode_job_record;
use super::topics::CANCELLATION_KEY_PREFIX;
use super::topics::cell_of;
use crate::ledger::decode_submission;
use crate::model::JobId;
use crate::observe::Decision;
use crate::observe::decided;
use crate::platform::KeyedRecord;
use crate::store_access::ChangeFeed;
use crate::store_access::FeedBatch;

/// The long-poll time of a read of submissions; bounds the age of the last read.
const SUBMISSIONS_HOLD: Duration = Duration::from_millis(1_000);
/// The pause between reads of the executors' records. The records change constantly, so that a long
/// poll would return at once.
const EXECUTORS_PAUSE: Duration = Duration::from_millis(400);

/// The feeds that an active owner follows: submissions and executor records.
impl CellOwner {
    pub(super) async fn follow_submissions(self: Arc<Self>, index: usize, mut feed: ChangeFeed) {
        loop {
            let sent_at = Instant::now();
            match feed.next(SUBMISSIONS_HOLD).await {
                Ok(FeedBatch::Snapshot(records) | FeedBatch::Changes(records)) => {
                    for record in &records {
                        self.apply_submission(record);
                    }
                    self.submissions_read_at
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)[index] = sent_at;
                    if !records.is_empty() {
                        self.wake.notify_one();
                    }
                }
                // `TrackedStore` logs failed calls.
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn apply_submission(&self, record: &KeyedRecord) {
        if record.value.is_empty() {
            return;
        }
        let now = Instant::now();
        if let Some(id) = record.key.strip_prefix(CANCELLATION_KEY_PREFIX) {
            if let Ok(id) = JobId::from_str(id) {
                self.lock().cancel(id, now);
            }
        } else if let Some((id, submission)) = decode_job_record(record, decode_submission) {
            self.lock().accept(id, Arc::new(submission), now);
        }
    }

    pub(super) async fn follow_executors(self: Arc<Self>) {
        let partition = self.context.platform.executor_partition();
        let mut feed = ChangeFeed::new(Arc::clone(&self.context.store), partition);
        loop {
            match feed.next(Duration::ZERO).await {
                Ok(batch) => self.apply_executors(batch),
                Err(_) => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            sleep(EXECUTORS_PAUSE).await;
        }
    }

    fn apply_executors(self: &Arc<Self>, batch: FeedBatch) {
        let records = match batch {
            FeedBatch::Changes(records) => records,
            FeedBatch::Snapshot(records) => {
                let mut state = self.lock();
                let removed: Vec<_> = state
                    .executors()
                    .map(|executor| executor.entry.id.clone())
                    .filter(|id| records.iter().all(|record| &*record.key != id.as_str()))
                    .collect();
                for id in removed {
                    state.mark_executor_missing(&id, Instant::now());
                }
                records
            }
        };
        let cell_count = self.context.settings.cell_count;
        for record in &records {
            if cell_of(&record.key, cell_count) == self.cell {
                self.apply_executor(record);
            }
        }
        self.wake.notify_one();
    }

    fn apply_executor(self: &Arc<Self>, record: &KeyedRecord) {
        let id = record.key.as_ref().into();
        if record.value.is_empty() {
            self.lock().mark_executor_missing(&id, Instant::now());
            return;
        }
        let decoded = self
            .context
            .platform
            .decode_executor(&record.key, &record.value);
        let entry = match decoded {
            Ok(entry) => entry,
            Err(error) => {
                decided!(Decision::ExecutorUnreadable, executor: id, cause: error);
                self.lock().mark_executor_unreadable(&id);
                return;
            }
        };
        let address = entry.address;
        let orders = self.lock().upsert_executor(entry, Instant::now());
        if let Some(orders) = orders {
            let link = self.context.platform.executor_link(&id, address);
            let session = ExecutorSession::new(Arc::clone(self), id, link);
            let released = self.released.clone();
            tokio::spawn(released.run_until_cancelled_owned(session.run(orders)));
        }
    }
}
