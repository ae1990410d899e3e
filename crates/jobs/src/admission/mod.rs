//! Admission of clients' records to a store of limited speed and to owners of limited room: who waits, who is refused, and when the
//! refused may return. Performs no input or output.

mod append_queue;
mod capacity_report;
mod job_room;
mod refusal;
mod return_time;
mod room_view;

pub use append_queue::AppendBatch;
pub use append_queue::AppendQueue;
pub use append_queue::Ticket;
pub use capacity_report::CapacityRefusal;
pub use capacity_report::CapacityReport;
pub use capacity_report::PoolCapacity;
pub use capacity_report::QueueBacklog;
pub use capacity_report::REPORT_AGE_MAX;
pub use job_room::JobRoom;
pub use job_room::UNRESERVED_JOB_MAX_BYTES;
pub use refusal::Refusal;
pub use return_time::longest_return_time;
pub use return_time::return_time;
pub use room_view::RoomQuery;
pub use room_view::RoomView;
