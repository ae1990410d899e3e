//! A small HTTP server with faults that can be switched on while it runs.

mod arguments;
mod fault;
mod http_server;

pub use arguments::Arguments;
pub use fault::Fault;
pub use fault::FaultBody;
pub use fault::FaultSwitch;
pub use http_server::Answer;
pub use http_server::Dropped;
pub use http_server::Handler;
pub use http_server::bind;
pub use http_server::query_number;
pub use http_server::serve;
