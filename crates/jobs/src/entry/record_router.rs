use std::sync::Arc;

use super::OwnerClient;
use super::RecordWriter;
use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::StoreError;

/// Stores clients' records: directly, or through the owner of their cell if the store is slow or
/// can't be reached from here.
///
/// A slow store completes only a few appends per second in a partition, regardless of the sender.
/// The owner batches the records of all hosts into these appends.
pub struct RecordRouter {
    writer: Arc<RecordWriter>,
    owner_client: OwnerClient,
}

impl RecordRouter {
    /// Creates a router over the writer of this host and the owners of the cells.
    pub fn new(writer: Arc<RecordWriter>, owner_client: OwnerClient) -> Self {
        Self {
            writer,
            owner_client,
        }
    }

    /// Returns the client that queries the owners of cells.
    pub fn owner_client(&self) -> &OwnerClient {
        &self.owner_client
    }

    /// Stores a record, which may be written more than once: writing the record must be idempotent.
    ///
    /// # Errors
    /// Returns [`StoreError::Unknown`] if the record may be stored nevertheless. After any other
    /// error the record is certainly not stored.
    pub async fn store(
        &self,
        cell: u32,
        partition: Partition,
        record: KeyedRecord,
    ) -> Result<(), StoreError> {
        let mut failed: Option<StoreError> = None;
        if self.writer.is_store_slow() {
            match self
                .owner_client
                .store_record(cell, partition, &record)
                .await
            {
                Ok(()) => return Ok(()),
                Err(elsewhere) => failed = Some(elsewhere.into()),
            }
        }
        let here = match self.writer.write(partition, record.clone()).await {
            Ok(()) => return Ok(()),
            Err(here) => here,
        };
        if failed.is_none() && self.writer.is_store_unreachable() {
            match self
                .owner_client
                .store_record(cell, partition, &record)
                .await
            {
                Ok(()) => return Ok(()),
                Err(elsewhere) => failed = Some(elsewhere.into()),
            }
        }
        match failed {
            Some(elsewhere) => Err(combine_errors(&here, &elsewhere)),
            None => Err(here),
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
