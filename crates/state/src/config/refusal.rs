use std::error::Error;
use std::fmt;

use dotterelhook_types::document::FieldFault;
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
    /// Another version came first.
    StaleBase {
        /// The version in force; absent if there is none.
        in_force_offset: Option<Offset>,
    },
    /// The body breaks a rule.
    Invalid(FieldFault),
    /// The path prefix of the service is taken.
    PrefixTaken {
        /// The path of the service that has the prefix.
        by: ConfigPath,
    },
    /// The same writer's record was already applied.
    Repeated {
        /// The last sequence applied.
        last_sequence: Sequence,
    },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { cause } => write!(f, "the record is not a publication: {cause}"),
            Self::OtherTeam { owner } => write!(f, "the path belongs to team {owner}"),
            Self::StaleBase {
                in_force_offset: Some(offset),
            } => {
                write!(f, "the base is stale: version {offset} is in force")
            }
            Self::StaleBase {
                in_force_offset: None,
            } => f.write_str("the base is stale: no version is in force"),
            Self::Invalid(fault) => fault.fmt(f),
            Self::PrefixTaken { by } => write!(f, "path_prefix: already taken by {by}"),
            Self::Repeated { last_sequence } => {
                write!(f, "a repeat: sequence {last_sequence} was already applied")
            }
        }
    }
}

impl Error for Refusal {}
