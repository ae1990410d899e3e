use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A value that breaks a rule, before its place in the file is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// The field's path within the document, segments separated by dots.
    pub field: Box<str>,
    /// The rule that the value breaks: what is allowed.
    pub rule: Box<str>,
}

impl FieldError {
    /// Creates a fault of the given field.
    pub fn new(field: impl Into<Box<str>>, rule: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            rule: rule.into(),
        }
    }

    /// Checks that a number lies within its bounds, both included.
    ///
    /// # Errors
    /// Names the bounds; the largest number is no upper bound.
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

/// A fault of a document, with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentError {
    /// The file's name as the user gave it.
    pub file: Box<str>,
    /// The line, from one.
    pub line: usize,
    /// The column, from one.
    pub column: usize,
    /// The field's path within the document; empty for the document itself.
    pub field: Box<str>,
    /// The value found, as text.
    pub value: Box<str>,
    /// The rule that the value breaks: what is allowed.
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
