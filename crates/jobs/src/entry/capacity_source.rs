use std::time::Duration;

use async_trait::async_trait;
use dotterelhook_types::CallError;

use crate::admission::CapacityReport;
use crate::model::FailureDomainName;
use crate::model::JobId;

/// What the owners of cells tell about their capacity and their jobs.
#[async_trait]
pub trait CapacitySource: Send + Sync {
    /// Queries the capacity of a cell for new jobs that enter through a failure domain.
    ///
    /// # Errors
    /// The owner can't be reached.
    async fn capacity(
        &self,
        cell: u32,
        domain: Option<&FailureDomainName>,
        timeout: Duration,
    ) -> Result<CapacityReport, CallError>;

    /// Queries whether the owner of a job's cell knows the job.
    ///
    /// # Errors
    /// The owner can't be reached, or can't answer for certain yet.
    async fn is_known(&self, id: JobId, timeout: Duration) -> Result<bool, CallError>;
}
