//! One task for each worker: starts, lease renewals and inventories.

mod worker_task;

pub(crate) use worker_task::WorkerCommand;
pub(crate) use worker_task::WorkerHandle;
pub(crate) use worker_task::WorkerReport;
pub(crate) use worker_task::spawn_worker_task;
