//! Requests that another front runs: in another failure domain, or as the home of a key.

mod byte_budget;
mod forward_handler;
mod forwarder;
mod messages;

pub use byte_budget::ByteBudget;
pub(crate) use forward_handler::ForwardHandler;
pub(crate) use forwarder::Forwarder;
pub use messages::CALL_NAME;
pub use messages::ForwardAnswer;
pub use messages::ForwardReason;
pub use messages::ForwardRequest;
