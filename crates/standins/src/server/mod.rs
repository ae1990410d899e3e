//! An HTTP server for stand-ins, with faults that are injected at run time.

mod arguments;
mod fault;
mod http_server;

pub use arguments::Arguments;
pub use fault::Fault;
pub use fault::FaultBody;
pub use fault::FaultSwitch;
pub use http_server::Answer;
pub use http_server::ConnectionDropped;
pub use http_server::Handler;
pub use http_server::bind;
pub use http_server::query_number;
pub use http_server::serve;
