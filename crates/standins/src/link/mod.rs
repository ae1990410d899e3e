//! A link between two processes that can delay bytes or be cut.

mod tcp_link;

pub use tcp_link::LinkState;
pub use tcp_link::TcpLink;
