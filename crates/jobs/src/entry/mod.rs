//! The entry point of clients' calls: submissions, cancellations and queries.

mod capacity_admission;
mod capacity_source;
mod capacity_view;
mod entry_handler;
mod entry_settings;
mod owner_client;
mod readiness_handler;
mod recent_jobs;
mod record_forwarder;
mod record_router;
mod record_writer;
mod room_admission;
mod room_source;

pub use capacity_admission::CapacityAdmission;
pub use capacity_source::CapacitySource;
pub use capacity_view::CapacityView;
pub use entry_handler::EntryHandler;
pub use entry_settings::EntrySettings;
pub use owner_client::OwnerClient;
pub use owner_client::add_owner_handlers;
pub use readiness_handler::ReadinessHandler;
pub use recent_jobs::RecentJobs;
pub use record_forwarder::RecordForwarder;
pub use record_router::RecordRouter;
pub use record_writer::RecordWriter;
pub use room_admission::RoomAdmission;
pub use room_admission::RoomRefusal;
pub use room_source::RoomSource;
