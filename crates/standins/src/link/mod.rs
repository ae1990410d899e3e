//! A TCP link between two processes, which can delay data or be cut.

mod tcp_link;

pub use tcp_link::LinkState;
pub use tcp_link::TcpLink;
