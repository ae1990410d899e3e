use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use serde::Serialize;

/// What is wrong with an entry of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FindingKind {
    /// The document violates a rule and can't be published.
    Error,
    /// The entry can never match anything.
    NeverMatches,
    /// The entry contradicts another limit.
    Contradiction,
}

/// An entry that is valid by itself, but can't have the effect that it states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    pub(crate) kind: FindingKind,
    /// The document with the entry.
    pub(crate) path: ConfigPath,
    /// The other document that is involved, if any.
    pub(crate) other: Option<ConfigPath>,
    /// The field and what is wrong with it.
    pub(crate) error: FieldError,
}

impl Finding {
    pub(crate) fn new(
        kind: FindingKind,
        path: &ConfigPath,
        field: &str,
        rule: impl Into<Box<str>>,
    ) -> Self {
        Self {
            kind,
            path: path.clone(),
            other: None,
            error: FieldError::new(field, rule),
        }
    }

    /// Returns the finding with the other document that is involved.
    pub(crate) fn with_other(self, other: &ConfigPath) -> Self {
        let other = Some(other.clone());
        Self { other, ..self }
    }
}
