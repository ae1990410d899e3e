//! One task for each worker: starts, lease renewals and inventories.

mod contact;
mod renewal_right;
mod worker_task;

pub(crate) use contact::Contact;
pub(crate) use renewal_right::RenewalRight;
pub(crate) use worker_task::WorkerCommand;
pub(crate) use worker_task::WorkerContext;
pub(crate) use worker_task::WorkerHandle;
pub(crate) use worker_task::WorkerReport;
pub(crate) use worker_task::spawn_worker_task;
