use std::future::Future;
use std::time::Duration;

use eyre::WrapErr;
use spdlog::info;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Registry;
use crate::Service;

/// Starts services, holds their handles and stops them together.
#[derive(Default)]
pub struct Kernel {
    registry: Registry,
    tasks: TaskTracker,
    draining: CancellationToken,
    stopping: CancellationToken,
}

impl Kernel {
    /// Returns the handles of the running services.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns a token that is cancelled when the process takes no new work.
    pub fn draining(&self) -> CancellationToken {
        self.draining.clone()
    }

    /// Returns a token that is cancelled when background tasks must end.
    pub fn stopping(&self) -> CancellationToken {
        self.stopping.clone()
    }

    /// Starts one service.
    ///
    /// # Errors
    /// The service could not start; the error names it.
    pub async fn start(&self, service: Box<dyn Service>) -> eyre::Result<()> {
        let name = service.name();
        service
            .start(self)
            .await
            .wrap_err_with(|| format!("service {name} did not start"))?;
        info!("kernel: service {name} started");
        Ok(())
    }

    /// Runs a task that a planned stop lets finish.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Returns the tracker of tasks that a planned stop lets finish.
    pub fn tasks(&self) -> TaskTracker {
        self.tasks.clone()
    }

    /// Stops gracefully: no new work, then a wait for what runs, then the end.
    ///
    /// Returns whether everything finished within the limit.
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
