use std::error::Error;
use std::fmt;

use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Why the fold refused a publication; the same in every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The record is not a publication.
    Malformed {
        /// What the decoder said.
        cause: Box<str>,
    },
    /// The path belongs to another team.
    OtherTeam {
        /// The owner of the path.
        owner: TeamName,
    },
    /// Another version, or a removal, came first.
    StaleBase {
        /// The version in force; absent if there is none.
        in_force_offset: Option<Offset>,
    },
    /// The path to be removed is not in force.
    NotInForce,
    /// The body breaks a rule.
    Invalid(FieldError),
    /// Another service has the name.
    NameTaken {
        /// The path of the service that has the name.
        by: ConfigPath,
    },
    /// The path prefix is taken, or shares requests with another team's service.
    PrefixTaken {
        /// The path of the service that has the prefix.
        by: ConfigPath,
    },
    /// There are as many paths as may be.
    TooManyPaths {
        /// The most paths that may be in force.
        paths_max: usize,
    },
    /// The same writer's record was already applied.
    Repeated {
        /// The last sequence applied.
        last_sequence: Sequence,
    },
    /// Records before this one were not read; nothing was applied.
    Gap {
        /// The record that is to be applied next.
        next_offset: Offset,
    },
}

impl Refusal {
    /// Returns the field at fault: of the body, or of the publication; empty for the whole.
    pub fn field(&self) -> &str {
        match self {
            Self::OtherTeam { .. } => "team",
            Self::StaleBase { .. } => "base_offset",
            Self::NotInForce | Self::NameTaken { .. } | Self::TooManyPaths { .. } => "path",
            Self::Invalid(fault) => &fault.field,
            Self::PrefixTaken { .. } => "path_prefix",
            Self::Repeated { .. } => "sequence",
            Self::Malformed { .. } | Self::Gap { .. } => "",
        }
    }

    /// Returns the rule that was broken, as one short sentence.
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
            Self::Invalid(fault) => fault.rule.clone(),
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
