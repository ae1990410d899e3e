//! JSON documents with comments, decoded with faults that name line, field, value and rule.

mod error;
mod source;

pub use error::DocumentError;
pub use error::FieldError;
pub use source::Document;
pub use source::decode_value;
