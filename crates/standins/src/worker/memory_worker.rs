use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use dotterelhook_borders::clock::Clock;
use dotterelhook_borders::worker::Inventory;
use dotterelhook_borders::worker::RenewBody;
use dotterelhook_borders::worker::StartBody;
use dotterelhook_borders::worker::StopBody;
use dotterelhook_borders::worker::WorkerAgent;
use dotterelhook_types::CallError;
use dotterelhook_types::ids::AttemptId;

use super::WorkerModel;
use super::WorkerRefusal;

/// A worker's agent that is called in process, without a network.
pub struct MemoryWorker {
    model: Mutex<WorkerModel>,
    clock: Arc<dyn Clock>,
}

impl MemoryWorker {
    /// Creates an agent that drives the model by the given clock.
    pub fn new(model: WorkerModel, clock: Arc<dyn Clock>) -> Self {
        Self {
            model: Mutex::new(model),
            clock,
        }
    }

    /// Locks and returns the model of the worker.
    pub fn model(&self) -> MutexGuard<'_, WorkerModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.clock.monotonic_ms()
    }
}

fn not_run(refusal: WorkerRefusal) -> CallError {
    CallError::not_run(refusal.to_string())
}

#[async_trait]
impl WorkerAgent for MemoryWorker {
    async fn inventory(&self) -> Result<Inventory, CallError> {
        Ok(self.model().inventory(self.now_ms()))
    }

    async fn start(&self, attempt: &AttemptId, body: &StartBody) -> Result<(), CallError> {
        let started = self.model().start(attempt, body, self.now_ms());
        started.map_err(not_run)
    }

    async fn renew(&self, body: &RenewBody) -> Result<Inventory, CallError> {
        let now_ms = self.now_ms();
        let mut model = self.model();
        model.renew(body, now_ms).map_err(not_run)?;
        Ok(model.inventory(now_ms))
    }

    async fn throttle(&self, _: &AttemptId, _: u32) -> Result<(), CallError> {
        Ok(())
    }

    async fn checkpoint(&self, attempt: &AttemptId) -> Result<Box<str>, CallError> {
        let name = self.model().checkpoint(attempt, self.now_ms());
        name.ok_or_else(|| CallError::not_run("the attempt does not run"))
    }

    async fn stop(&self, attempt: &AttemptId, body: &StopBody) -> Result<(), CallError> {
        self.model().stop(attempt, body, self.now_ms());
        Ok(())
    }

    async fn forget(&self, attempt: &AttemptId) -> Result<(), CallError> {
        self.model().forget(attempt);
        Ok(())
    }
}
