//! JSON documents with comments, decoded with faults that name line, field, value and rule.

mod fault;
mod source;

pub use fault::Fault;
pub use fault::FieldFault;
pub use source::Document;
pub use source::decode_value;
