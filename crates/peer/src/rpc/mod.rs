//! RPC between daemons: each call is an h2 stream that carries bincode frames.

mod body;
mod call_context;
mod deadline;
mod peer_client;
mod peer_handler;
mod peer_limits;
mod peer_server;

pub use peer_client::PeerClient;
pub use peer_handler::PeerHandler;
pub use peer_handler::PeerHandlers;
pub use peer_limits::PeerLimits;
pub use peer_server::PeerServer;
