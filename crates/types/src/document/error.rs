use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A validation error of one field, without a position in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field within the document, with segments separated by dots.
    pub field: Box<str>,
    /// The violated rule, worded as what is allowed.
    pub rule: Box<str>,
}

impl FieldError {
    /// Creates an error for a field path, or for the whole document if the path is empty.
    pub fn new(field: impl Into<Box<str>>, rule: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            rule: rule.into(),
        }
    }

    /// Checks that a number lies within its inclusive bounds.
    ///
    /// # Errors
    /// Returns an error whose rule names the bounds. `u64::MAX` as `max` means no upper bound.
    pub fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), Self> {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        let rule = match max {
            u64::MAX => format!("must be {min} or more"),
            max => format!("must be {min} to {max}"),
        };
        Err(Self::new(field, rule))
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.rule)
    }
}

impl Error for FieldError {}

/// A syntax or validation error of a document, with its position in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// Name of the file as given by the user.
    pub file: Box<str>,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Path of the field within the document; empty for the document itself.
    pub field: Box<str>,
    /// Source text of the offending value, shortened for display.
    pub value: Box<str>,
    /// The violated rule, worded as what is allowed.
    pub rule: Box<str>,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "field {}: ", self.field)?;
        }
        if !self.value.is_empty() {
            write!(f, "value {}: ", self.value)?;
        }
        f.write_str(&self.rule)
    }
}

impl Error for DocumentError {}
