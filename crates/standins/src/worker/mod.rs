//! Stand-ins for a worker's agent, over HTTP and in memory.

mod memory_worker;
mod worker_model;
mod worker_server;

pub use memory_worker::MemoryWorker;
pub use worker_model::AttemptInterval;
pub use worker_model::WorkerModel;
pub use worker_model::WorkerRefusal;
pub use worker_server::WorkerServer;
