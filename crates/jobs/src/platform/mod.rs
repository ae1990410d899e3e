//! The interfaces of the surrounding platform: its store, its executors, its approval service
//! and the protocol of its clients.

mod advisor;
mod client_protocol;
mod executor_link;
mod operator_record;
mod platform_trait;
mod store;
mod store_limits;

pub use advisor::Advice;
pub use advisor::AdviceRequest;
pub use advisor::Advisor;
pub use client_protocol::CallKind;
pub use client_protocol::ClientCall;
pub use client_protocol::ClientProtocol;
pub use client_protocol::ClientReply;
pub use executor_link::EndedRun;
pub use executor_link::ExecutorLink;
pub use executor_link::ExecutorReport;
pub use executor_link::OrderError;
pub use executor_link::PaceOrder;
pub use executor_link::Renewal;
pub use executor_link::RunEnd;
pub use executor_link::RunningRun;
pub use executor_link::StartOrder;
pub use executor_link::StartRefusal;
pub use executor_link::StopOrder;
pub use operator_record::OperatorRecord;
pub use platform_trait::DecodeError;
pub use platform_trait::Platform;
pub use store::AppendAck;
pub use store::Fence;
pub use store::Group;
pub use store::GroupAssignment;
pub use store::KeyedRecord;
pub use store::NewestPage;
pub use store::Partition;
pub use store::PartitionOwner;
pub use store::ReadPage;
pub use store::Store;
pub use store::StoreError;
pub use store_limits::StoreLimits;
