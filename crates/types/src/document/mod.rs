//! JSON documents with comments. Decoding errors name the line, field, value and violated rule.

mod error;
mod source;

pub use error::DocumentError;
pub use error::FieldError;
pub use source::Document;
pub use source::decode_value;
