use async_trait::async_trait;
use dotterelhook_state::shard::MovedRun;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::FailureDomain;
use dotterelhook_types::ids::RunId;

use super::RoomRequest;

/// The schedulers of the other failure domains.
#[async_trait]
pub trait OtherDomains: Send + Sync {
    /// Returns the other failure domains with a live scheduler.
    fn failure_domains(&self) -> Vec<FailureDomain>;

    /// Returns how many tasks could start now in the shard that the run would belong to.
    ///
    /// # Errors
    /// No scheduler of the failure domain answered.
    async fn room(
        &self,
        domain: &FailureDomain,
        run: &RunId,
        request: &RoomRequest,
    ) -> Result<u64, CallError>;

    /// Hands a run over. A repeat of the same move changes nothing.
    ///
    /// # Errors
    /// The run was not adopted, or the answer was lost; the call must be repeated.
    async fn deliver(&self, domain: &FailureDomain, moved: &MovedRun) -> Result<(), CallError>;
}
