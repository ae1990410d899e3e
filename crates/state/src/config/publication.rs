use dotterelhook_types::ids::ConfigPath;
use dotterelhook_types::ids::Offset;
use dotterelhook_types::ids::Sequence;
use dotterelhook_types::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use super::publication_outcome::shorten;

/// The largest record that is taken as a publication.
pub const PUBLICATION_MAX_BYTES: usize = 64 << 10;

const WRITER_MAX_BYTES: usize = 64;

/// Names one writer of a stream; a new process takes a new one.
pub type WriterId = Box<str>;

/// One operator's change of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Who appended the record.
    pub writer: WriterId,
    /// The writer's own count, used to drop repeats.
    pub sequence: Sequence,
    /// The team in whose name the change is made.
    pub team: TeamName,
    /// The path that is changed.
    pub path: ConfigPath,
    /// The offset of the version that this one replaces. For a path that is not in force: the
    /// newest record that the publisher had read, absent if there was none.
    pub base_offset: Option<Offset>,
    /// The new document; absent to remove the path.
    pub body: Option<Value>,
}

impl Publication {
    /// Decodes a record of limited size.
    pub(super) fn parse(payload: &str) -> Result<Self, Box<str>> {
        if payload.len() > PUBLICATION_MAX_BYTES {
            return Err(format!("larger than {PUBLICATION_MAX_BYTES} bytes").into());
        }
        let publication: Self =
            serde_json::from_str(payload).map_err(|error| shorten(&error.to_string()))?;
        if publication.writer.len() > WRITER_MAX_BYTES {
            return Err(format!("the writer's id is longer than {WRITER_MAX_BYTES} bytes").into());
        }
        Ok(publication)
    }
}
