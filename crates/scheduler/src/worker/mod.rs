//! One task for each worker: it starts attempts, renews their leases and reports inventories.

mod latest_answer;
mod renewal_right;
mod worker_task;

pub(crate) use latest_answer::LatestAnswer;
pub(crate) use renewal_right::RenewalRight;
pub(crate) use worker_task::WorkerCommand;
pub(crate) use worker_task::WorkerContext;
pub(crate) use worker_task::WorkerHandle;
pub(crate) use worker_task::WorkerReport;
pub(crate) use worker_task::spawn_worker_task;
