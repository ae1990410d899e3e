use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use crate::platform::KeyedRecord;
use crate::platform::Partition;

/// Stores records through the owner of their cell.
#[async_trait]
pub trait RecordForwarder: Send + Sync {
    /// Stores a record through the owner of a cell within `timeout`.
    ///
    /// # Errors
    /// The verdict of the error says whether the record may be stored nevertheless.
    async fn forward(
        &self,
        cell: u32,
        partition: Partition,
        record: &KeyedRecord,
        timeout: Duration,
    ) -> Result<(), CallError>;
}
