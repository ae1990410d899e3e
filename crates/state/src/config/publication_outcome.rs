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

/// Whether one publication was accepted or refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublicationOutcome {
    /// Offset of the publication's record.
    pub offset: Offset,
    /// The published path; absent if the record was malformed.
    pub path: Option<ConfigPath>,
    /// The writer and its sequence number; absent if the record was malformed.
    pub writer: Option<(WriterId, Sequence)>,
    /// The offending value as text; empty if the publication was accepted.
    pub value: Box<str>,
    /// Reason for the refusal; absent if the publication was accepted.
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

    /// Creates the outcome of a decoded publication.
    pub(super) fn for_publication(
        offset: Offset,
        publication: &Publication,
        refusal: Option<Refusal>,
    ) -> Self {
        let value = refusal
            .as_ref()
            .map(|refusal| field_value(publication, refusal.field()));
        Self {
            offset,
            path: Some(publication.path.clone()),
            writer: Some((publication.writer.clone(), publication.sequence)),
            value: value.unwrap_or_default(),
            refusal,
        }
    }
}

/// Returns the text of a field's value, cut to the limit.
fn field_value(publication: &Publication, field: &str) -> Box<str> {
    match field {
        "team" => publication.team.to_string().into(),
        "path" => publication.path.to_string().into(),
        "base_offset" => publication
            .base_offset
            .map_or_else(|| "none".into(), |base| base.to_string().into()),
        _ => body_field_value(publication.body.as_ref(), field),
    }
}

fn body_field_value(body: Option<&Value>, field: &str) -> Box<str> {
    let segments = field.split(['.', '[', ']']).filter(|s| !s.is_empty());
    let mut node = body;
    for segment in segments {
        node = match node {
            Some(Value::Array(items)) => segment.parse().ok().and_then(|i: usize| items.get(i)),
            Some(Value::Object(fields)) => fields.get(segment),
            _ => None,
        };
    }
    truncate(&node.map(Value::to_string).unwrap_or_default())
}

/// Truncates a text of external origin, so that the retained state stays bounded.
pub(super) fn truncate(text: &str) -> Box<str> {
    match text.char_indices().nth(TEXT_MAX_CHARS) {
        None => text.into(),
        Some((end, _)) => format!("{}…", &text[..end]).into(),
    }
}

/// Truncates the texts of a field error.
pub(super) fn truncate_error(error: &FieldError) -> FieldError {
    FieldError::new(truncate(&error.field), truncate(&error.rule))
}
