//! Taking clients' calls: submissions, cancellations and questions.

mod entry_handler;
mod entry_settings;
mod owner_calls;
mod ready_handler;
mod recent_jobs;
mod record_gate;
mod record_writer;

pub use entry_handler::EntryHandler;
pub use entry_handler::RecentJobList;
pub use entry_settings::EntrySettings;
pub use owner_calls::OwnerCalls;
pub use owner_calls::add_owner_handlers;
pub use ready_handler::ReadyHandler;
pub use record_gate::RecordGate;
pub use record_writer::RecordWriter;
