//! Admission of clients' records to a store of limited speed: who waits, who is refused, and when the
//! refused may return. Performs no input or output.

mod append_queue;
mod refusal;
mod return_time;

pub use append_queue::AppendBatch;
pub use append_queue::AppendQueue;
pub use append_queue::Ticket;
pub use refusal::Refusal;
pub use return_time::return_time;
