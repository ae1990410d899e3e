use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout;

use super::RecordForwarder;
use super::RecordWriter;
use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::StoreError;

/// The wait for the own append before the record also goes to the owner: the store may be silent for
/// this host only, or hold up the appends of many hosts.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Stores clients' records: directly, or through the owner of their cell if the store is slow, refuses
/// this host or can't be reached from here.
///
/// A slow store completes only a few appends per second in a partition, regardless of the sender.
/// The owner batches the records of all hosts into these appends.
pub struct RecordRouter {
    writer: Arc<RecordWriter>,
    owner: Arc<dyn RecordForwarder>,
}

impl RecordRouter {
    /// Creates a router over the writer of this host and the owners of the cells.
    pub fn new(writer: Arc<RecordWriter>, owner: Arc<dyn RecordForwarder>) -> Self {
        Self { writer, owner }
    }

    /// Stores a record by `deadline`. It may be written more than once: writing the record must be
    /// idempotent.
    ///
    /// # Errors
    /// Returns [`StoreError::Unknown`] if the record may be stored nevertheless. After any other
    /// error the record is certainly not stored.
    pub async fn store(
        &self,
        cell: u32,
        partition: Partition,
        record: KeyedRecord,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        if self.writer.is_store_slow() {
            let elsewhere = match self.forward(cell, partition, &record, deadline).await {
                Ok(()) => return Ok(()),
                Err(elsewhere) => elsewhere,
            };
            let here = self.writer.write(partition, record, deadline).await;
            return here.map_err(|here| combine_errors(&here, &elsewhere));
        }
        let mut here = pin!(self.writer.write(partition, record.clone(), deadline));
        let early = timeout(HEDGE_DELAY, here.as_mut()).await;
        let elsewhere = self.forward(cell, partition, &record, deadline);
        match early {
            Ok(Ok(())) => Ok(()),
            // No host can store it.
            Ok(Err(here @ StoreError::Rejected(_))) => Err(here),
            Ok(Err(here)) => {
                let elsewhere = elsewhere.await;
                elsewhere.map_err(|elsewhere| combine_errors(&here, &elsewhere))
            }
            Err(_) => first_stored(here, elsewhere).await,
        }
    }

    async fn forward(
        &self,
        cell: u32,
        partition: Partition,
        record: &KeyedRecord,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let forwarded = self.owner.forward(cell, partition, record, timeout).await;
        forwarded.map_err(StoreError::from)
    }
}

/// Waits until one of two attempts has stored the record, or both have failed.
async fn first_stored(
    mut here: Pin<&mut impl Future<Output = Result<(), StoreError>>>,
    elsewhere: impl Future<Output = Result<(), StoreError>>,
) -> Result<(), StoreError> {
    let mut elsewhere = pin!(elsewhere);
    tokio::select! {
        result = here.as_mut() => {
            let Err(here) = result else {
                return Ok(());
            };
            let elsewhere = elsewhere.await;
            elsewhere.map_err(|elsewhere| combine_errors(&here, &elsewhere))
        }
        result = elsewhere.as_mut() => {
            let Err(elsewhere) = result else {
                return Ok(());
            };
            let here = here.await;
            here.map_err(|here| combine_errors(&here, &elsewhere))
        }
    }
}

/// Combines the errors of two attempts: the record is certainly not stored only if neither attempt
/// may have stored it.
fn combine_errors(here: &StoreError, elsewhere: &StoreError) -> StoreError {
    let cause = format!("{here}; elsewhere: {elsewhere}").into();
    match here.had_no_effect() && elsewhere.had_no_effect() {
        true => StoreError::NotDone(cause),
        false => StoreError::Unknown(cause),
    }
}
