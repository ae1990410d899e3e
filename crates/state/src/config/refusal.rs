use std::error::Error;
use std::fmt;

use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Reason why the fold refused a publication. Every process derives the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The record is not a publication.
    Malformed {
        /// The decoder's error text.
        cause: Box<str>,
    },
    /// The path belongs to another team.
    OtherTeam {
        /// The team that owns the path.
        owner: TeamName,
    },
    /// Another version or a removal of the path was accepted after the base.
    StaleBase {
        /// Offset of the version in force; absent if there is none.
        in_force_offset: Option<Offset>,
    },
    /// The path to remove has no version in force.
    NotInForce,
    /// The body violates a validation rule.
    Invalid(FieldError),
    /// Another path declares a service with the same name.
    NameTaken {
        /// Path of the service that holds the name.
        by: ConfigPath,
    },
    /// Another service has the path prefix, or the prefix overlaps with another team's service.
    PrefixTaken {
        /// Path of the conflicting service.
        by: ConfigPath,
    },
    /// The number of paths in force has reached its limit.
    TooManyPaths {
        /// Limit on the number of paths in force.
        paths_max: usize,
    },
    /// The writer's sequence number was already applied.
    Repeated {
        /// The writer's last applied sequence number.
        last_sequence: Sequence,
    },
    /// Records before this one have not been applied, so neither was this record.
    Gap {
        /// Offset of the next record to apply.
        next_offset: Offset,
    },
}

impl Refusal {
    /// Returns the offending field of the body or of the publication; empty if the refusal concerns
    /// the whole record.
    pub fn field(&self) -> &str {
        match self {
            Self::OtherTeam { .. } => "team",
            Self::StaleBase { .. } => "base_offset",
            Self::NotInForce | Self::NameTaken { .. } | Self::TooManyPaths { .. } => "path",
            Self::Invalid(error) => &error.field,
            Self::PrefixTaken { .. } => "path_prefix",
            Self::Repeated { .. } => "sequence",
            Self::Malformed { .. } | Self::Gap { .. } => "",
        }
    }

    /// Returns the violated rule as one short sentence.
    pub fn rule(&self) -> Box<str> {
        match self {
            Self::Malformed { cause } => format!("the record is not a publication: {cause}").into(),
            Self::OtherTeam { owner } => format!("the path belongs to team {owner}").into(),
            Self::StaleBase {
                in_force_offset: Some(offset),
            } => format!("the base is stale: version {offset} is in force").into(),
            Self::StaleBase {
                in_force_offset: None,
            } => "the base is stale: no version is in force".into(),
            Self::NotInForce => "only a path in force can be removed".into(),
            Self::Invalid(error) => error.rule.clone(),
            Self::NameTaken { by } => format!("the service's name is taken by {by}").into(),
            Self::PrefixTaken { by } => format!("already taken by {by}").into(),
            Self::TooManyPaths { paths_max } => format!("at most {paths_max} paths").into(),
            Self::Repeated { last_sequence } => {
                format!("a repeat: sequence {last_sequence} was already applied").into()
            }
            Self::Gap { next_offset } => {
                format!("the records from {next_offset} on were not read").into()
            }
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field() {
            "" => f.write_str(&self.rule()),
            field => write!(f, "{field}: {}", self.rule()),
        }
    }
}

impl Error for Refusal {}
