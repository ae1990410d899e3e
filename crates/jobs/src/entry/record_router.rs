use std::sync::Arc;

use super::OwnerClient;
use super::RecordWriter;
use crate::platform::KeyedRecord;
use crate::platform::Partition;
use crate::platform::StoreError;

/// Stores clients' records, from here or through the owner of their cell.
///
/// A slow store carries out a handful of appends a second in a partition, whoever sends them. The
/// owner gathers the records of all hosts into these.
pub struct RecordRouter {
    writer: Arc<RecordWriter>,
    owners: OwnerClient,
}

impl RecordRouter {
    /// Creates a gate.
    pub fn new(writer: Arc<RecordWriter>, owners: OwnerClient) -> Self {
        Self { writer, owners }
    }

    /// Returns the calls to owners.
    pub fn owners(&self) -> &OwnerClient {
        &self.owners
    }

    /// Stores a record that may be written twice without harm.
    ///
    /// # Errors
    /// Says whether the record may be stored all the same.
    pub async fn store(
        &self,
        cell: u32,
        partition: Partition,
        record: KeyedRecord,
    ) -> Result<(), StoreError> {
        let mut failed: Option<StoreError> = None;
        if self.writer.is_slow() {
            match self.owners.store_record(cell, partition, &record).await {
                Ok(()) => return Ok(()),
                Err(elsewhere) => failed = Some(elsewhere.into()),
            }
        }
        let here = match self.writer.write(partition, record.clone()).await {
            Ok(()) => return Ok(()),
            Err(here) => here,
        };
        if failed.is_none() && self.writer.is_cut_off() {
            match self.owners.store_record(cell, partition, &record).await {
                Ok(()) => return Ok(()),
                Err(elsewhere) => failed = Some(elsewhere.into()),
            }
        }
        match failed {
            Some(elsewhere) => Err(joined(&here, &elsewhere)),
            None => Err(here),
        }
    }
}

/// Returns the outcome of two tries: the record is not stored only if neither may have stored it.
fn joined(here: &StoreError, elsewhere: &StoreError) -> StoreError {
    let cause = format!("{here}; elsewhere: {elsewhere}").into();
    match here.had_no_effect() && elsewhere.had_no_effect() {
        true => StoreError::NotDone(cause),
        false => StoreError::Unknown(cause),
    }
}
