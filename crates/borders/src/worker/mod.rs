//! Workers' agents, which run attempts under leases.

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

/// A client of one worker's agent.
#[async_trait]
pub trait WorkerAgent: Send + Sync {
    /// Reads the worker's capacity, attempts and usage.
    ///
    /// # Errors
    /// The worker is unreachable or did not answer in time.
    async fn inventory(&self) -> Result<Inventory, CallError>;

    /// Starts an attempt under a lease. The call is idempotent.
    ///
    /// The worker refuses the start for good once the attempt has ended or been stopped, or the
    /// worker has a later incarnation. A stale epoch, an expired lease end or insufficient free
    /// capacity cause a refusal without effect.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether the attempt may have started.
    async fn start(&self, attempt: &AttemptId, body: &StartBody) -> Result<(), CallError>;

    /// Extends the leases of attempts and reads the inventory. An expired lease is not renewed.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether the leases may have been
    /// extended.
    async fn renew(&self, body: &RenewBody) -> Result<Inventory, CallError>;

    /// Throttles an attempt to a percentage of its CPU time.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether the throttle may apply.
    async fn throttle(&self, attempt: &AttemptId, cpu_percent: u32) -> Result<(), CallError>;

    /// Makes an attempt write a checkpoint and returns the checkpoint's name.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether a checkpoint may have been
    /// written.
    async fn checkpoint(&self, attempt: &AttemptId) -> Result<Box<str>, CallError>;

    /// Stops an attempt. The worker refuses any later start of the attempt.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether the attempt may have been
    /// stopped.
    async fn stop(&self, attempt: &AttemptId, body: &StopBody) -> Result<(), CallError>;

    /// Removes an ended attempt from the inventory; has no effect on a running one.
    ///
    /// # Errors
    /// The call failed or was refused. The verdict states whether the attempt may have been
    /// removed.
    async fn forget(&self, attempt: &AttemptId) -> Result<(), CallError>;
}

/// A factory of clients of workers' agents.
pub trait WorkerAgents: Send + Sync {
    /// Returns a client of the agent at an address. The client connects on its first call.
    fn agent(&self, address: SocketAddr) -> Arc<dyn WorkerAgent>;
}
