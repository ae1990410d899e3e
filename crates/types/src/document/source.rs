use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::DocumentError;
use super::FieldError;

const SHOWN_VALUE_MAX_CHARS: usize = 60;

/// A parsed JSON file with comments. Retains the source text so that errors can be located in it.
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
    /// Returns the first syntax error with its position, or an error if the file holds no value.
    pub fn parse(file: &str, text: &str) -> Result<Self, DocumentError> {
        let parsed =
            jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &ParseOptions::default());
        let syntax_error = |line, column, rule: String| DocumentError {
            file: file.into(),
            line,
            column,
            field: "".into(),
            value: "".into(),
            rule: rule.into(),
        };
        let parsed = parsed.map_err(|e| {
            syntax_error(
                e.line_display(),
                e.column_display(),
                format!("not JSON: {}", e.kind()),
            )
        })?;
        let value =
            parsed.ok_or_else(|| syntax_error(1, 1, "the file holds no value".to_owned()))?;
        Ok(Self {
            file: file.into(),
            text: text.into(),
            value,
        })
    }

    /// Returns the document as JSON without comments.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Decodes the document into `T` and locates any error in the file.
    ///
    /// # Errors
    /// Returns the first field that is unknown, missing, of the wrong type or rejected by `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, DocumentError> {
        decode_value(&self.value).map_err(|error| self.locate(&error))
    }

    /// Adds file, line, column and value to a field error.
    ///
    /// A field that is not in the document is located at its nearest enclosing value.
    pub fn locate(&self, error: &FieldError) -> DocumentError {
        let parsed = jsonc_parser::parse_to_ast(
            &self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let root = parsed.ok().and_then(|parsed| parsed.value);
        let node = root
            .as_ref()
            .map(|root| find_deepest_node(root, &error.field));
        let (start, end) = node.map_or((0, 0), |node| (node.start(), node.end()));
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
        DocumentError {
            file: self.file.clone(),
            line,
            column,
            field: error.field.clone(),
            value: truncate_value(&self.text[start..end]),
            rule: error.rule.clone(),
        }
    }
}

/// Decodes JSON into `T` and reports the path of the offending field.
///
/// # Errors
/// Returns the first field that is unknown, missing, of the wrong type or rejected by `T`.
pub fn decode_value<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let field = if path == "." { String::new() } else { path };
        FieldError::new(field, error.into_inner().to_string())
    })
}

/// Returns the node at a field path, or the deepest node on the path that exists.
fn find_deepest_node<'a, 'b>(root: &'b ast::Value<'a>, field: &str) -> &'b ast::Value<'a> {
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

fn truncate_value(text: &str) -> Box<str> {
    let line = text.lines().next().unwrap_or_default();
    if line.chars().count() == text.chars().count() && line.len() <= SHOWN_VALUE_MAX_CHARS {
        return line.into();
    }
    let prefix: String = line.chars().take(SHOWN_VALUE_MAX_CHARS).collect();
    format!("{prefix}…").into()
}
