use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use crate::model::JobId;

/// What the owners of cells tell about their room for accepted jobs.
#[async_trait]
pub trait RoomSource: Send + Sync {
    /// Queries whether a cell has room for a job of the given size, or knows the job already. Room for a
    /// large job is reserved.
    ///
    /// # Errors
    /// The owner can't be reached.
    async fn reserve_room(
        &self,
        cell: u32,
        id: JobId,
        bytes: usize,
        timeout: Duration,
    ) -> Result<bool, CallError>;
}
