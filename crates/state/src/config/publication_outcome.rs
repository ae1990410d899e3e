use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::Publication;
use super::Refusal;
use super::WriterId;

const TEXT_MAX_CHARS: usize = 200;

/// What became of one publication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicationOutcome {
    /// The offset of the record.
    pub offset: Offset,
    /// The path; absent if the record was malformed.
    pub path: Option<ConfigPath>,
    /// The writer and its sequence; absent if the record was malformed.
    pub writer: Option<(WriterId, Sequence)>,
    /// The value at fault, as text; empty if the publication was accepted.
    pub value: Box<str>,
    /// Why it was refused; absent if it was accepted.
    pub refusal: Option<Refusal>,
}

impl PublicationOutcome {
    /// Creates the outcome of a record that is not a publication.
    pub(super) fn malformed(offset: Offset, refusal: Refusal) -> Self {
        Self {
            offset,
            path: None,
            writer: None,
            value: "".into(),
            refusal: Some(refusal),
        }
    }

    /// Creates the outcome of a publication.
    pub(super) fn of(offset: Offset, publication: &Publication, refusal: Option<Refusal>) -> Self {
        let value = refusal
            .as_ref()
            .map(|refusal| value_at(publication, refusal.field()));
        Self {
            offset,
            path: Some(publication.path.clone()),
            writer: Some((publication.writer.clone(), publication.sequence)),
            value: value.unwrap_or_default(),
            refusal,
        }
    }
}

/// Returns a field's value as text, of limited length.
fn value_at(publication: &Publication, field: &str) -> Box<str> {
    match field {
        "team" => publication.team.to_string().into(),
        "path" => publication.path.to_string().into(),
        "base_offset" => publication
            .base_offset
            .map_or_else(|| "none".into(), |base| base.to_string().into()),
        _ => body_value_at(publication.body.as_ref(), field),
    }
}

fn body_value_at(body: Option<&Value>, field: &str) -> Box<str> {
    let segments = field.split(['.', '[', ']']).filter(|s| !s.is_empty());
    let mut node = body;
    for segment in segments {
        node = match node {
            Some(Value::Array(items)) => segment.parse().ok().and_then(|i: usize| items.get(i)),
            Some(Value::Object(fields)) => fields.get(segment),
            _ => None,
        };
    }
    shorten(&node.map(Value::to_string).unwrap_or_default())
}

/// Cuts a text that comes from outside to a limited length.
pub(super) fn shorten(text: &str) -> Box<str> {
    match text.char_indices().nth(TEXT_MAX_CHARS) {
        None => text.into(),
        Some((end, _)) => format!("{}…", &text[..end]).into(),
    }
}

/// Cuts the texts of a fault to a limited length.
pub(super) fn shorten_fault(fault: &FieldError) -> FieldError {
    FieldError::new(shorten(&fault.field), shorten(&fault.rule))
}
