//! Forwarding of requests to other fronts: in another failure domain, or at a key's home.

mod byte_budget;
mod forward_handler;
mod forwarder;
mod messages;

pub use byte_budget::ByteBudget;
pub(crate) use forward_handler::ForwardHandler;
pub(crate) use forwarder::Forwarder;
pub use messages::BufferedAnswer;
pub use messages::FORWARD_CALL;
pub use messages::ForwardReason;
pub use messages::ForwardRequest;
