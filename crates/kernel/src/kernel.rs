use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use spdlog::error;
use spdlog::info;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Registry;
use crate::Service;
use crate::memory::MachineMemory;
use crate::memory::MemoryAccount;

/// The core of the daemon process: starts the services, owns the registry of their handles and
/// shuts the services down together.
pub struct Kernel {
    registry: Registry,
    memory: Arc<MemoryAccount>,
    tasks: TaskTracker,
    draining: CancellationToken,
    stopping: CancellationToken,
    failed: CancellationToken,
}

impl Default for Kernel {
    /// Creates a kernel with the memory that the platform reports for this machine.
    fn default() -> Self {
        Self::new(MachineMemory::detect())
    }
}

impl Kernel {
    /// Creates a kernel that has the given memory.
    pub fn new(memory: MachineMemory) -> Self {
        Self {
            registry: Registry::default(),
            memory: MemoryAccount::new(memory),
            tasks: TaskTracker::default(),
            draining: CancellationToken::default(),
            stopping: CancellationToken::default(),
            failed: CancellationToken::default(),
        }
    }

    /// Returns the account of the bytes that the process holds for clients.
    pub fn memory(&self) -> Arc<MemoryAccount> {
        Arc::clone(&self.memory)
    }

    /// Returns the registry in which services provide and find handles.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns a token that is cancelled when the process starts to drain and should get no
    /// new work.
    pub fn draining(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Returns a token that is cancelled when background tasks must terminate.
    pub fn stopping(&self) -> CancellationToken {
        self.stopping.clone()
    }

    /// Returns a token that is cancelled when a task of [`Self::spawn`] has panicked. The process then
    /// lacks one of its parts and should exit, so that it is restarted or replaced.
    pub fn failed(&self) -> CancellationToken {
        self.failed.clone()
    }

    /// Starts one service and returns once its start has completed.
    ///
    /// # Errors
    /// The service failed to start. The error contains the service's name.
    pub async fn start(&self, service: Box<dyn Service>) -> eyre::Result<()> {
        let name = service.name();
        service
            .start(self)
            .await
            .wrap_err_with(|| format!("service {name} did not start"))?;
        info!("kernel: service {name} started");
        Ok(())
    }

    /// Spawns a task that the process can't do without and that a graceful stop waits for.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let running = self.tasks.spawn(task);
        let failed = self.failed.clone();
        tokio::spawn(async move {
            if let Err(error) = running.await
                && error.is_panic()
            {
                error!("kernel: a task panicked: {error}");
                failed.cancel();
            }
        });
    }

    /// Returns the tracker of the tasks that a graceful stop waits for.
    pub fn tasks(&self) -> TaskTracker {
        self.tasks.clone()
    }

    /// Stops the process gracefully: announces the drain, waits for `unready_for`, announces the
    /// stop and waits up to `limit` for the running tasks.
    ///
    /// Returns whether all tasks finished within the limit.
    pub async fn stop(&self, unready_for: Duration, limit: Duration) -> bool {
        info!("kernel: draining");
        self.draining.cancel();
        tokio::time::sleep(unready_for).await;
        self.stopping.cancel();
        self.tasks.close();
        let finished = tokio::time::timeout(limit, self.tasks.wait()).await.is_ok();
        info!("kernel: stopped, all tasks finished: {finished}");
        finished
    }
}
