//! The agent of a worker, which runs attempts under leases.

mod http_worker;
mod messages;

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;
pub use http_worker::HttpWorker;
pub use http_worker::HttpWorkers;
pub use messages::AttemptReport;
pub use messages::AttemptStatus;
pub use messages::Inventory;
pub use messages::RenewBody;
pub use messages::StartBody;
pub use messages::StopBody;
pub use messages::UsageSample;

/// The agent of one worker.
#[async_trait]
pub trait WorkerAgent: Send + Sync {
    /// Reads what the worker has and all attempts that it knows.
    ///
    /// # Errors
    /// The worker can't be reached or did not answer in time.
    async fn inventory(&self) -> Result<Inventory, CallError>;

    /// Starts an attempt under a lease; a repeat changes nothing.
    ///
    /// Refused for good after a stop, an end or a later incarnation; refused without effect
    /// if the epoch is stale, the lease end has passed or there is no room.
    ///
    /// # Errors
    /// The verdict says whether the attempt may have started.
    async fn start(&self, attempt: &AttemptId, body: &StartBody) -> Result<(), CallError>;

    /// Extends the leases of attempts and reads the inventory; a lapsed lease is not revived.
    ///
    /// # Errors
    /// The verdict says whether the leases may have been extended.
    async fn renew(&self, body: &RenewBody) -> Result<Inventory, CallError>;

    /// Slows an attempt to a share of its processor time, in percent.
    ///
    /// # Errors
    /// The verdict says whether the attempt may have been slowed.
    async fn throttle(&self, attempt: &AttemptId, cpu_percent: u32) -> Result<(), CallError>;

    /// Has an attempt write a checkpoint and returns its name.
    ///
    /// # Errors
    /// The verdict says whether a checkpoint may have been written.
    async fn checkpoint(&self, attempt: &AttemptId) -> Result<Box<str>, CallError>;

    /// Stops an attempt; the worker refuses any later start of it.
    ///
    /// # Errors
    /// The verdict says whether the attempt may have been stopped.
    async fn stop(&self, attempt: &AttemptId, body: &StopBody) -> Result<(), CallError>;

    /// Removes an ended attempt from the inventory.
    ///
    /// # Errors
    /// The verdict says whether it may have been removed.
    async fn forget(&self, attempt: &AttemptId) -> Result<(), CallError>;
}

/// Connects to worker agents.
pub trait WorkerAgents: Send + Sync {
    /// Returns the agent at an address; nothing is connected yet.
    fn agent(&self, address: SocketAddr) -> Arc<dyn WorkerAgent>;
}
