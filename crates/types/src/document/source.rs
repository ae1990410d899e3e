use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::DocumentError;
use super::FieldError;

const SHOWN_VALUE_MAX_CHARS: usize = 60;

/// The text of a JSON file with comments, kept to locate faults.
#[derive(Clone, Debug)]
pub struct Document {
    file: Box<str>,
    text: Box<str>,
    value: Value,
}

impl Document {
    /// Parses the text of the named file.
    ///
    /// # Errors
    /// Returns the place of the first syntax error.
    pub fn parse(file: &str, text: &str) -> Result<Self, DocumentError> {
        let parsed =
            jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &ParseOptions::default());
        let syntax_fault = |line, column, rule: String| DocumentError {
            file: file.into(),
            line,
            column,
            field: "".into(),
            value: "".into(),
            rule: rule.into(),
        };
        let parsed = parsed.map_err(|e| {
            syntax_fault(
                e.line_display(),
                e.column_display(),
                format!("not JSON: {}", e.kind()),
            )
        })?;
        let value =
            parsed.ok_or_else(|| syntax_fault(1, 1, "the file holds no value".to_owned()))?;
        Ok(Self {
            file: file.into(),
            text: text.into(),
            value,
        })
    }

    /// Returns the document as plain JSON.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Decodes the document into a raw type.
    ///
    /// # Errors
    /// Returns the first field that is unknown, missing or of the wrong type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, DocumentError> {
        decode_value(&self.value).map_err(|fault| self.locate(&fault))
    }

    /// Adds file, line, column and value to a fault of one field.
    pub fn locate(&self, fault: &FieldError) -> DocumentError {
        let parsed = jsonc_parser::parse_to_ast(
            &self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let root = parsed.ok().and_then(|parsed| parsed.value);
        let place = root.as_ref().map(|root| find_field(root, &fault.field));
        let (start, end) = place.map_or((0, 0), |node| (node.start(), node.end()));
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        DocumentError {
            file: self.file.clone(),
            line,
            column,
            field: fault.field.clone(),
            value: shorten(&self.text[start..end]),
            rule: fault.rule.clone(),
        }
    }
}

/// Decodes plain JSON into a raw type, naming the field at fault.
///
/// # Errors
/// Returns the first field that is unknown, missing or of the wrong type.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { String::new() } else { path };
        FieldError::new(field, error.into_inner().to_string())
    })
}

/// Walks as far down the path as the document goes.
fn find_field<'a, 'b>(root: &'b ast::Value<'a>, field: &str) -> &'b ast::Value<'a> {
    let mut node = root;
    for segment in field.split(['.', '[', ']']).filter(|s| !s.is_empty()) {
        let child = match node {
            ast::Value::Object(object) => object.get(segment).map(|property| &property.value),
            ast::Value::Array(array) => segment
                .parse::<usize>()
                .ok()
                .and_then(|index| array.elements.get(index)),
            _ => None,
        };
        match child {
            Some(child) => node = child,
            None => break,
        }
    }
    node
}

fn shorten(text: &str) -> Box<str> {
    let line = text.lines().next().unwrap_or_default();
    if line.chars().count() == text.chars().count() && line.len() <= SHOWN_VALUE_MAX_CHARS {
        return line.into();
    }
    let head: String = line.chars().take(SHOWN_VALUE_MAX_CHARS).collect();
    format!("{head}…").into()
}
